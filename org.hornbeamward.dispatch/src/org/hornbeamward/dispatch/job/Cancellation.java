package org.hornbeamward.dispatch.job;

import org.hornbeamward.codec.Reader;
import org.hornbeamward.codec.Writer;

/**
 * A stored cancellation. It also applies to a job whose submission becomes known later, because the
 * entry that stores it may not have heard of the job yet.
 *
 * @param queue queue that the caller named; a job of another queue is not cancelled; empty for any
 */
public record Cancellation(String queue) {
    /**
     * Encodes the cancellation.
     *
     * @return value of its record
     */
    public byte[] encode() {
        return new Writer().text(queue).toBytes();
    }

    /**
     * Decodes a cancellation. Earlier versions stored a value that names no queue.
     *
     * @param bytes value of the record
     * @return the cancellation
     */
    public static Cancellation decode(byte[] bytes) {
        try {
            return new Cancellation(new Reader(bytes).text());
        } catch (Reader.MalformedInputException e) {
            return new Cancellation("");
        }
    }

    /**
     * Returns whether the cancellation applies to a job.
     *
     * @param submission submission of the job with the id that is cancelled
     * @return false if the job is in another queue
     */
    public boolean appliesTo(Submission submission) {
        return queue.isEmpty() || queue.equals(submission.queue());
    }
}
