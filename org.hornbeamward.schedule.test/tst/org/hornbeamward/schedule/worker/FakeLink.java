package org.hornbeamward.schedule.worker;

import java.util.ArrayDeque;
import java.util.Deque;
import org.hornbeamward.transport.message.Message;
import org.hornbeamward.transport.message.MessageCodec;
import org.hornbeamward.transport.message.WorkerMessage;

/** One link; messages arrive in order, late, or not at all after the link has ended. */
final class FakeLink {
    final Deque<WorkerMessage> mToWorker = new ArrayDeque<>();
    final Deque<WorkerMessage> mToSupervisor = new ArrayDeque<>();
    boolean mUp;
    boolean mCut;
    boolean mStalled;

    /** Set when the supervisor has yet to learn of the end of the link. */
    boolean mLossUnseen;

    void drop() {
        mToWorker.clear();
        mToSupervisor.clear();
        mLossUnseen |= mUp;
        mUp = false;
    }

    /** Sends through the encoding, so that only what is encoded arrives. */
    static WorkerMessage encoded(WorkerMessage message) {
        Message read = MessageCodec.decode(MessageCodec.encode(message), "test").get();
        return (WorkerMessage) read;
    }
}
