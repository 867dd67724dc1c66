package org.hornbeamward.command;

/** Ends the author's membership after it has given back its slots. */
public record LeaveMember() implements Command {}
