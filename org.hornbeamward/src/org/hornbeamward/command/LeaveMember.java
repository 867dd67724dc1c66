package org.hornbeamward.command;

/** Ends the author's membership; it holds no slots any more. */
public record LeaveMember() implements Command {}
