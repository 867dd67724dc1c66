package org.hornbeamward.dispatch.job;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import org.hornbeamward.codec.Writer;
import org.hornbeamward.dispatch.config.QueueCodec;
import org.hornbeamward.dispatch.config.QueueConfig;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.Resources;
import org.junit.jupiter.api.Test;

/** The stored form of submissions with and without the configuration of their queue. */
class SubmissionTest {
    private static final JobId JOB = new JobId("0123456789abcdef");

    private static QueueConfig queue(String pathPrefix) {
        return new QueueConfig(
                "queue", "host", pathPrefix, "pool", 2, 4, 2.5, 250, true, true, 60_000);
    }

    private static Submission submission(String account) {
        StepSpec step =
                new StepSpec(
                        1,
                        new Resources(1_000, 100, 0),
                        500,
                        List.of(),
                        false,
                        false,
                        false,
                        "",
                        "",
                        0,
                        false,
                        false,
                        "",
                        0,
                        false,
                        0);
        return new Submission(
                JOB, "queue", account, 99, new JobSpec("payload", List.of(step), 0, 0, 0));
    }

    private static byte[] concat(byte[] first, byte[] second) {
        byte[] all = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, all, first.length, second.length);
        return all;
    }

    /** Guards against a job that loses what it needs to end when its record is read again. */
    @Test
    void aSubmissionKeepsTheConfigurationOfItsQueue() {
        for (String account : List.of("", "account")) {
            Submission submission = submission(account).withAcceptedQueue(queue("/q/"));
            assertEquals(submission, Submission.decode(JOB, submission.encode()));
        }
    }

    /** Guards against jobs that an older build has accepted and a newer one cannot read. */
    @Test
    void aSubmissionOfAnOlderBuildIsReadWithoutAQueue() {
        for (String account : List.of("", "account")) {
            Submission read = Submission.decode(JOB, submission(account).encode());
            assertEquals(submission(account), read);
            assertNull(read.acceptedQueue());
        }
    }

    /** Guards against a new form that changes the bytes that an older build reads. */
    @Test
    void theFieldsThatAnOlderBuildReadsComeFirstAndUnchanged() {
        for (String account : List.of("", "account")) {
            byte[] older = submission(account).encode();
            byte[] newer = submission(account).withAcceptedQueue(queue("/q/")).encode();
            assertTrue(newer.length > older.length);
            assertArrayEquals(older, Arrays.copyOf(newer, older.length));
        }
    }

    /** Guards against an accepted job that is dropped for a part that only few jobs ever need. */
    @Test
    void anUnreadableQueueDoesNotMakeTheSubmissionUnreadable() {
        byte[] older = submission("").encode();
        byte[] noAttempts =
                QueueCodec.encode(new QueueConfig("", "", "", "", 0, 0, 1.0, 0, false, false, 0));
        for (byte[] odd :
                List.of(
                        new Writer().integer(7).toBytes(),
                        new Writer().bytes(new byte[] {1, 2}).toBytes(),
                        new Writer().bytes(noAttempts).toBytes())) {
            assertEquals(submission(""), Submission.decode(JOB, concat(older, odd)));
        }
    }

    /** Guards against a record that grows with what an operator's configuration holds. */
    @Test
    void aQueueBeyondTheLimitIsLeftOut() {
        int otherBytes = QueueCodec.encode(queue("")).length;
        // A text of 256 to 65,535 bytes has a header of 3 bytes instead of 1.
        int longest = QueueCodec.MAX_BYTES - otherBytes - 2;
        int olderBytes = submission("").encode().length;

        Submission atLimit = submission("").withAcceptedQueue(queue("p".repeat(longest)));
        Submission beyond = submission("").withAcceptedQueue(queue("p".repeat(longest + 1)));

        assertEquals(olderBytes + QueueCodec.MAX_BYTES + 3, atLimit.encode().length);
        assertEquals(atLimit, Submission.decode(JOB, atLimit.encode()));
        assertEquals(olderBytes, beyond.encode().length);
    }
}
