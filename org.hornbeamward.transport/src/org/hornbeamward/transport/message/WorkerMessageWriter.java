package org.hornbeamward.transport.message;

import java.io.IOException;
import java.util.List;
import org.msgpack.core.MessagePacker;

/** Encodes messages between a supervisor and a worker. */
final class WorkerMessageWriter extends ValueWriter {
    WorkerMessageWriter(MessagePacker packer) {
        super(packer);
    }

    void write(WorkerMessage message) throws IOException {
        switch (message) {
            case Hello hello -> {
                longs(MessageType.HELLO, hello.epoch());
                text(hello.instance().value());
            }
            case Heartbeat heartbeat -> writeHeartbeat(heartbeat);
            case HeartbeatAck ack -> writeHeartbeatAck(ack);
            case WorkerStatus status -> writeWorkerStatus(status);
            case StartTask start -> writeStartTask(start);
            case CheckpointTask checkpoint ->
                    longs(MessageType.CHECKPOINT_TASK, checkpoint.epoch(), checkpoint.token());
            case ThrottleTask throttle ->
                    longs(
                            MessageType.THROTTLE_TASK,
                            throttle.epoch(),
                            throttle.token(),
                            throttle.throttlePercent());
            case StopTask stop -> {
                longs(MessageType.STOP_TASK, stop.epoch());
                task(stop.task());
                longs(stop.token(), stop.noticeMillis());
            }
            case TaskReport report -> writeTaskReport(report);
            case Refusal refusal ->
                    longs(
                            MessageType.REFUSAL,
                            refusal.token(),
                            refusal.reason().ordinal(),
                            refusal.epoch());
        }
    }

    private void writeHeartbeat(Heartbeat heartbeat) throws IOException {
        longs(
                MessageType.HEARTBEAT,
                heartbeat.epoch(),
                heartbeat.incarnation(),
                heartbeat.ticketMillis());
        mPacker.packArrayHeader(heartbeat.acknowledgedTokens().size());
        for (long token : heartbeat.acknowledgedTokens()) {
            longs(token);
        }
    }

    private void writeHeartbeatAck(HeartbeatAck ack) throws IOException {
        longs(
                MessageType.HEARTBEAT_ACK,
                ack.incarnation(),
                ack.ticketMillis(),
                ack.measuredMillis());
        mPacker.packArrayHeader(ack.changedUsage().size());
        for (UsageSample sample : ack.changedUsage()) {
            sample(sample);
        }
        writeEndedTasks(ack.endedTasks());
    }

    private void writeEndedTasks(List<EndedTask> tasks) throws IOException {
        mPacker.packArrayHeader(tasks.size());
        for (EndedTask ended : tasks) {
            task(ended.task());
            longs(ended.token(), ended.outcome().ordinal(), ended.checkpoint());
        }
    }

    private void writeWorkerStatus(WorkerStatus status) throws IOException {
        longs(MessageType.WORKER_STATUS);
        text(status.worker().value());
        longs(status.incarnation());
        text(status.failureDomain().value());
        text(status.region().value());
        text(status.rack());
        resources(status.capacity());
        longs(status.ticketMillis());
        mPacker.packArrayHeader(status.runningTasks().size());
        for (RunningTask running : status.runningTasks()) {
            task(running.task());
            longs(running.token());
            mPacker.packBoolean(running.stopping());
            longs(running.checkpoint());
        }
        writeEndedTasks(status.endedTasks());
    }

    private void writeStartTask(StartTask start) throws IOException {
        longs(MessageType.START_TASK, start.epoch(), start.incarnation());
        task(start.task());
        longs(start.token(), start.ticketMillis());
        resources(start.resources());
        longs(start.checkpoint());
        text(start.className());
        longs(start.kind().ordinal(), start.expectedRunMillis(), start.agreedPeriodMillis());
    }

    private void writeTaskReport(TaskReport report) throws IOException {
        longs(MessageType.TASK_REPORT, report.token(), report.event().ordinal());
        if (report.outcome() == null) {
            mPacker.packNil();
        } else {
            longs(report.outcome().ordinal());
        }
        longs(report.checkpoint());
    }
}
