package org.hornbeamward.transport.message;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hornbeamward.command.JobKind;
import org.hornbeamward.command.TaskOutcome;
import org.msgpack.core.MessageUnpacker;

/** Reads one message. */
final class MessageReader extends ValueReader {
    MessageReader(MessageUnpacker unpacker, int sizeBytes) {
        super(unpacker, sizeBytes);
    }

    Message read() throws IOException, MalformedMessageException {
        int type = mUnpacker.unpackInt();
        return switch (type) {
            case MessageType.HELLO -> new Hello(number(), instance());
            case MessageType.WORKER_STATUS -> readStatus();
            case MessageType.HEARTBEAT ->
                    new Heartbeat(number(), number(), number(), list(this::number));
            case MessageType.HEARTBEAT_ACK ->
                    new HeartbeatAck(
                            number(),
                            number(),
                            number(),
                            list(this::sample),
                            list(this::endedTask));
            case MessageType.START_TASK -> readStart();
            case MessageType.CHECKPOINT_TASK -> new CheckpointTask(number(), number());
            case MessageType.THROTTLE_TASK -> new ThrottleTask(number(), number(), integer());
            case MessageType.STOP_TASK -> new StopTask(number(), task(), number(), number());
            case MessageType.TASK_REPORT -> readReport();
            case MessageType.REFUSAL ->
                    new Refusal(number(), constant(RefusalReason.values()), number());
            case MessageType.PEER_PING -> new PeerPing(instance(), number(), number(), number());
            case MessageType.PEER_PONG ->
                    new PeerPong(instance(), number(), number(), flag(), number());
            case MessageType.ANSWER_QUERY ->
                    new AnswerQuery(number(), number(), number(), number(), number(), number());
            case MessageType.ANSWER_REPLY -> readReply();
            case MessageType.USAGE_REPORT -> new UsageReport(list(this::workerSamples));
            case MessageType.TASK_ADVICE -> new TaskAdvice(worker(), number(), integer());
            default -> throw new MalformedMessageException("message type " + type + " is unknown");
        };
    }

    private WorkerStatus readStatus() throws IOException, MalformedMessageException {
        return new WorkerStatus(
                worker(),
                number(),
                failureDomain(),
                region(),
                text(),
                resources(),
                number(),
                list(() -> new RunningTask(task(), number(), flag(), number())),
                list(this::endedTask));
    }

    private StartTask readStart() throws IOException, MalformedMessageException {
        return new StartTask(
                number(),
                number(),
                task(),
                number(),
                number(),
                resources(),
                number(),
                text(),
                constant(JobKind.values()),
                number(),
                number());
    }

    private TaskReport readReport() throws IOException, MalformedMessageException {
        long token = number();
        TaskEvent event = constant(TaskEvent.values());
        TaskOutcome outcome = mUnpacker.tryUnpackNil() ? null : constant(TaskOutcome.values());
        if ((event == TaskEvent.ENDED) != (outcome != null)) {
            throw new MalformedMessageException("only an ended task has an outcome");
        }
        return new TaskReport(token, event, outcome, number());
    }

    private AnswerReply readReply() throws IOException, MalformedMessageException {
        long requestId = number();
        boolean found = flag();
        int status = integer();
        int fieldCount = checkedSize(mUnpacker.unpackMapHeader());
        Map<String, String> headers = new LinkedHashMap<>();
        for (int index = 0; index < fieldCount; index++) {
            headers.put(text(), text());
        }
        int bodyBytes = checkedSize(mUnpacker.unpackBinaryHeader());
        return new AnswerReply(requestId, found, status, headers, mUnpacker.readPayload(bodyBytes));
    }

    private EndedTask endedTask() throws IOException, MalformedMessageException {
        return new EndedTask(task(), number(), constant(TaskOutcome.values()), number());
    }

    private UsageSample sample() throws IOException, MalformedMessageException {
        return new UsageSample(number(), integer(), integer(), integer(), integer());
    }

    private WorkerSamples workerSamples() throws IOException, MalformedMessageException {
        return new WorkerSamples(worker(), number(), number(), list(this::sample));
    }
}
