package org.hornbeamward.transport.message;

/** A message from one entry instance to another. */
public sealed interface PeerMessage extends Message
        permits AnswerQuery, AnswerReply, PeerPing, PeerPong, TaskAdvice, UsageReport {}
