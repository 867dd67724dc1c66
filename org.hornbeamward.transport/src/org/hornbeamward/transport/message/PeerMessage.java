package org.hornbeamward.transport.message;

/** A message between two entry instances. */
public sealed interface PeerMessage extends Message
        permits AnswerQuery, AnswerReply, PeerPing, PeerPong, TaskAdvice, UsageReport {}
