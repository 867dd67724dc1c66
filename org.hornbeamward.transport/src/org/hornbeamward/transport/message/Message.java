package org.hornbeamward.transport.message;

/** One message on a link. Immutable. */
public sealed interface Message permits PeerMessage, WorkerMessage {}
