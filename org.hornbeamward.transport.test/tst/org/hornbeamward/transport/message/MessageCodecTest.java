package org.hornbeamward.transport.message;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.hornbeamward.command.JobKind;
import org.hornbeamward.command.TaskOutcome;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.RegionId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.lib.WorkerId;
import org.junit.jupiter.api.Test;

final class MessageCodecTest {
    private static final TaskId TASK = TaskId.parse("letters-2026/17").get();
    private static final long TOKEN = 1_000_000L << 10;
    private static final InstanceId INSTANCE = new InstanceId("entry-1");
    private static final UsageSample SAMPLE = new UsageSample(TOKEN, 1_800, 900, 1_250, 50);
    private static final EndedTask ENDED = new EndedTask(TASK, TOKEN, TaskOutcome.STOPPED, 77);

    private static final List<Message> MESSAGES =
            List.of(
                    new Hello(TOKEN, INSTANCE),
                    new Heartbeat(TOKEN, Long.MAX_VALUE, 86_400_000, List.of(TOKEN, TOKEN + 1)),
                    new HeartbeatAck(9, 10, 8, List.of(SAMPLE), List.of(ENDED)),
                    new WorkerStatus(
                            new WorkerId("w1"),
                            -5,
                            new FailureDomainId("kigali-1"),
                            new RegionId("kigali"),
                            "rack-3",
                            new Resources(16_000, 61_440, 2),
                            12,
                            List.of(new RunningTask(TASK, TOKEN, true, 3)),
                            List.of(ENDED)),
                    new StartTask(
                            TOKEN,
                            Long.MIN_VALUE,
                            TASK,
                            TOKEN,
                            86_400_000,
                            new Resources(2_000, 4_096, 0),
                            5,
                            "letter-pack",
                            JobKind.BATCH,
                            600_000,
                            0),
                    new CheckpointTask(1, TOKEN),
                    new ThrottleTask(1, TOKEN, 40),
                    new StopTask(1, TASK, TOKEN, 5_000),
                    new TaskReport(TOKEN, TaskEvent.STARTED, null, 0),
                    new TaskReport(TOKEN, TaskEvent.ENDED, TaskOutcome.FAILED, 4),
                    new Refusal(TOKEN, RefusalReason.OLD_TICKET, 8),
                    new PeerPing(INSTANCE, 1, -2, 3),
                    new PeerPong(INSTANCE, 1, 2, true, 3),
                    new AnswerQuery(1, 2, 3, 4, -1, Long.MIN_VALUE),
                    new TaskAdvice(new WorkerId("w-1"), 7, 50),
                    new UsageReport(
                            List.of(new WorkerSamples(new WorkerId("w"), 4, 5, List.of(SAMPLE)))));

    /** Guards against components that are swapped or lost between writer and reader. */
    @Test
    void everyMessageSurvivesEncoding() {
        for (Message message : MESSAGES) {
            byte[] bytes = MessageCodec.encode(message);
            assertEquals(message, MessageCodec.decode(bytes, "peer").get());
        }
    }

    /** Guards against changes to the response of a claimed request by encoding and decoding. */
    @Test
    void answerSurvivesEncoding() {
        byte[] body = {0, 1, -1};
        AnswerReply reply = new AnswerReply(3, true, 200, Map.of("a", "b", "c", ""), body);
        AnswerReply decoded =
                (AnswerReply) MessageCodec.decode(MessageCodec.encode(reply), "peer").get();
        assertEquals(reply.headers(), decoded.headers());
        assertArrayEquals(body, decoded.body());
    }

    /** Guards against exceptions or partial messages from truncated or overlong input. */
    @Test
    void bytesThatAreNoMessageAreTypedErrors() {
        for (Message message : MESSAGES) {
            byte[] bytes = MessageCodec.encode(message);
            for (int length = 0; length < bytes.length; length++) {
                assertTrue(MessageCodec.decode(Arrays.copyOf(bytes, length), "peer").isLeft());
            }
            byte[] overlong = Arrays.copyOf(bytes, bytes.length + 1);
            assertTrue(MessageCodec.decode(overlong, "peer").isLeft());
        }
        byte[] hugeList = {3, 1, 1, 1, (byte) 0xdd, 0x7f, -1, -1, -1};
        assertEquals("MalformedRecord", MessageCodec.decode(hugeList, "p").getLeft().kind());
    }

    /** Guards against heartbeats that exceed the size budget for control traffic. */
    @Test
    void heartbeatsAreSmall() {
        long incarnation = Long.MAX_VALUE;
        long ticketMillis = 10_000_000_000L;
        Message heartbeat = new Heartbeat(TOKEN, incarnation, ticketMillis, List.of());
        Message ack = new HeartbeatAck(incarnation, ticketMillis, 1, List.of(), List.of());
        assertTrue(MessageCodec.encode(heartbeat).length <= 32);
        assertTrue(MessageCodec.encode(ack).length <= 32);
    }
}
