package org.hornbeamward.dispatch.job;

import org.hornbeamward.codec.Reader;
import org.hornbeamward.codec.Writer;

/**
 * A stored cancellation. It also applies to a job whose submission becomes known later, because the
 * entry that stores it may not have heard of the job yet.
 *
 * @param queue queue that the caller named; a job of another queue is not cancelled; empty for any
 * @param account client account of the caller; a job of another account is not cancelled; empty for
 *     none
 */
public record Cancellation(String queue, String account) {
    /**
     * Encodes the cancellation.
     *
     * @return value of its record
     */
    public byte[] encode() {
        Writer writer = new Writer().text(queue);
        return account.isEmpty() ? writer.toBytes() : writer.text(account).toBytes();
    }

    /**
     * Decodes a cancellation. Earlier versions stored a value that names no queue.
     *
     * @param bytes value of the record
     * @return the cancellation
     */
    public static Cancellation decode(byte[] bytes) {
        try {
            Reader reader = new Reader(bytes);
            return new Cancellation(reader.text(), reader.hasNext() ? reader.text() : "");
        } catch (Reader.MalformedInputException e) {
            return new Cancellation("", "");
        }
    }

    /**
     * Returns whether the cancellation applies to a job.
     *
     * @param submission submission of the job with the id that is cancelled
     * @return false if the job is in another queue or of another account
     */
    public boolean appliesTo(Submission submission) {
        return queue.isEmpty()
                || (queue.equals(submission.queue()) && account.equals(submission.account()));
    }
}
