package org.hornbeamward.transport.message;

/** A message that is sent over a link. Immutable. */
public sealed interface Message permits PeerMessage, WorkerMessage {}
