package org.hornbeamward.transport.message;

/** A message between a supervisor and a worker. */
public sealed interface WorkerMessage extends Message
        permits CheckpointTask,
                Heartbeat,
                HeartbeatAck,
                Hello,
                Refusal,
                StartTask,
                StopTask,
                TaskReport,
                ThrottleTask,
                WorkerStatus {}
