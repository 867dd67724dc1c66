package org.hornbeamward.transport.message;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hornbeamward.command.JobKind;
import org.hornbeamward.command.TaskOutcome;
import org.msgpack.core.MessageUnpacker;

/** Decodes a message from MessagePack values. */
final class MessageReader extends ValueReader {
    MessageReader(MessageUnpacker unpacker, int frameBytes) {
        super(unpacker, frameBytes);
    }

    Message read() throws IOException, MalformedMessageException {
        int type = mUnpacker.unpackInt();
        return switch (type) {
            case MessageType.HELLO -> new Hello(longValue(), instance());
            case MessageType.WORKER_STATUS -> readWorkerStatus();
            case MessageType.HEARTBEAT ->
                    new Heartbeat(longValue(), longValue(), longValue(), list(this::longValue));
            case MessageType.HEARTBEAT_ACK ->
                    new HeartbeatAck(
                            longValue(),
                            longValue(),
                            longValue(),
                            list(this::sample),
                            list(this::endedTask));
            case MessageType.START_TASK -> readStartTask();
            case MessageType.CHECKPOINT_TASK -> new CheckpointTask(longValue(), longValue());
            case MessageType.THROTTLE_TASK ->
                    new ThrottleTask(longValue(), longValue(), intValue());
            case MessageType.STOP_TASK ->
                    new StopTask(longValue(), task(), longValue(), longValue());
            case MessageType.TASK_REPORT -> readTaskReport();
            case MessageType.REFUSAL ->
                    new Refusal(longValue(), constant(RefusalReason.values()), longValue());
            case MessageType.PEER_PING ->
                    new PeerPing(instance(), longValue(), longValue(), longValue());
            case MessageType.PEER_PONG ->
                    new PeerPong(instance(), longValue(), longValue(), flag(), longValue());
            case MessageType.ANSWER_QUERY ->
                    new AnswerQuery(
                            longValue(),
                            longValue(),
                            longValue(),
                            longValue(),
                            longValue(),
                            longValue());
            case MessageType.ANSWER_REPLY -> readAnswerReply();
            case MessageType.USAGE_REPORT -> new UsageReport(list(this::workerSamples));
            case MessageType.TASK_ADVICE -> new TaskAdvice(worker(), longValue(), intValue());
            default -> throw new MalformedMessageException("unknown message type " + type);
        };
    }

    private WorkerStatus readWorkerStatus() throws IOException, MalformedMessageException {
        return new WorkerStatus(
                worker(),
                longValue(),
                failureDomain(),
                region(),
                text(),
                resources(),
                longValue(),
                list(() -> new RunningTask(task(), longValue(), flag(), longValue())),
                list(this::endedTask));
    }

    private StartTask readStartTask() throws IOException, MalformedMessageException {
        return new StartTask(
                longValue(),
                longValue(),
                task(),
                longValue(),
                longValue(),
                resources(),
                longValue(),
                text(),
                constant(JobKind.values()),
                longValue(),
                longValue());
    }

    private TaskReport readTaskReport() throws IOException, MalformedMessageException {
        long token = longValue();
        TaskEvent event = constant(TaskEvent.values());
        TaskOutcome outcome = mUnpacker.tryUnpackNil() ? null : constant(TaskOutcome.values());
        if ((event == TaskEvent.ENDED) != (outcome != null)) {
            throw new MalformedMessageException(
                    "a task report has an outcome if and only if its event is ENDED");
        }
        return new TaskReport(token, event, outcome, longValue());
    }

    private AnswerReply readAnswerReply() throws IOException, MalformedMessageException {
        long requestId = longValue();
        boolean found = flag();
        int status = intValue();
        int fieldCount = checkedSize(mUnpacker.unpackMapHeader());
        Map<String, String> headers = new LinkedHashMap<>();
        for (int index = 0; index < fieldCount; index++) {
            headers.put(text(), text());
        }
        int bodyBytes = checkedSize(mUnpacker.unpackBinaryHeader());
        return new AnswerReply(requestId, found, status, headers, mUnpacker.readPayload(bodyBytes));
    }

    private EndedTask endedTask() throws IOException, MalformedMessageException {
        return new EndedTask(task(), longValue(), constant(TaskOutcome.values()), longValue());
    }

    private UsageSample sample() throws IOException, MalformedMessageException {
        return new UsageSample(longValue(), intValue(), intValue(), intValue(), intValue());
    }

    private WorkerSamples workerSamples() throws IOException, MalformedMessageException {
        return new WorkerSamples(worker(), longValue(), longValue(), list(this::sample));
    }
}
