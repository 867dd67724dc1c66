package org.hornbeamward.transport.message;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import org.msgpack.core.MessagePacker;

/** Encodes messages between entry instances. */
final class PeerMessageWriter extends ValueWriter {
    PeerMessageWriter(MessagePacker packer) {
        super(packer);
    }

    void write(PeerMessage message) throws IOException {
        switch (message) {
            case PeerPing ping -> {
                longs(MessageType.PEER_PING);
                text(ping.instance().value());
                longs(ping.incarnation(), ping.ticketNanos(), ping.logOffset());
            }
            case PeerPong pong -> {
                longs(MessageType.PEER_PONG);
                text(pong.instance().value());
                longs(pong.incarnation(), pong.ticketNanos());
                mPacker.packBoolean(pong.promise());
                longs(pong.logOffset());
            }
            case AnswerQuery query ->
                    longs(
                            MessageType.ANSWER_QUERY,
                            query.requestId(),
                            query.incarnation(),
                            query.sequence(),
                            query.remainingMillis(),
                            query.keyHashHigh(),
                            query.keyHashLow());
            case AnswerReply reply -> writeAnswerReply(reply);
            case UsageReport report -> writeUsageReport(report);
            case TaskAdvice advice -> {
                longs(MessageType.TASK_ADVICE);
                text(advice.worker().value());
                longs(advice.token(), advice.throttlePercent());
            }
        }
    }

    private void writeAnswerReply(AnswerReply reply) throws IOException {
        longs(MessageType.ANSWER_REPLY, reply.requestId());
        mPacker.packBoolean(reply.found());
        longs(reply.status());
        mPacker.packMapHeader(reply.headers().size());
        for (Map.Entry<String, String> field : new TreeMap<>(reply.headers()).entrySet()) {
            text(field.getKey());
            text(field.getValue());
        }
        mPacker.packBinaryHeader(reply.body().length);
        mPacker.writePayload(reply.body());
    }

    private void writeUsageReport(UsageReport report) throws IOException {
        longs(MessageType.USAGE_REPORT);
        mPacker.packArrayHeader(report.workers().size());
        for (WorkerSamples worker : report.workers()) {
            text(worker.worker().value());
            longs(worker.incarnation(), worker.measuredMillis());
            mPacker.packArrayHeader(worker.samples().size());
            for (UsageSample sample : worker.samples()) {
                sample(sample);
            }
        }
    }
}
