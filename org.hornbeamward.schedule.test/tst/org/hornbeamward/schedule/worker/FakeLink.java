package org.hornbeamward.schedule.worker;

import java.util.ArrayDeque;
import java.util.Deque;
import org.hornbeamward.transport.message.Message;
import org.hornbeamward.transport.message.MessageCodec;
import org.hornbeamward.transport.message.WorkerMessage;

/**
 * A link between an instance and a worker. Messages arrive in order, possibly late; messages in
 * transit are lost when the link ends.
 */
final class FakeLink {
    final Deque<WorkerMessage> mToWorker = new ArrayDeque<>();
    final Deque<WorkerMessage> mToSupervisor = new ArrayDeque<>();
    boolean mUp;
    boolean mDisconnected;
    boolean mStalled;

    /** True if the link has ended and the supervisor has not been told yet. */
    boolean mLossUnreported;

    void drop() {
        mToWorker.clear();
        mToSupervisor.clear();
        mLossUnreported |= mUp;
        mUp = false;
    }

    /** Encodes and decodes a message, so that only what the encoding carries arrives. */
    static WorkerMessage encodeAndDecode(WorkerMessage message) {
        Message read = MessageCodec.decode(MessageCodec.encode(message), "test").get();
        return (WorkerMessage) read;
    }
}
