package org.hornbeamward.transport.message;

/** Message type numbers. They are part of the wire format and never change. */
final class MessageType {
    static final int HELLO = 1;
    static final int WORKER_STATUS = 2;
    static final int HEARTBEAT = 3;
    static final int HEARTBEAT_ACK = 4;
    static final int START_TASK = 5;
    static final int CHECKPOINT_TASK = 6;
    static final int THROTTLE_TASK = 7;
    static final int STOP_TASK = 8;
    static final int TASK_REPORT = 9;
    static final int REFUSAL = 10;
    static final int PEER_PING = 20;
    static final int PEER_PONG = 21;
    static final int ANSWER_QUERY = 22;
    static final int ANSWER_REPLY = 23;
    static final int USAGE_REPORT = 24;
    static final int TASK_ADVICE = 25;

    private MessageType() {}
}
