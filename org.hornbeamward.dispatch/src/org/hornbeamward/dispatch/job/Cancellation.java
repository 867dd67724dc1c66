package org.hornbeamward.dispatch.job;

import org.hornbeamward.codec.Reader;
import org.hornbeamward.codec.Writer;
import org.hornbeamward.dispatch.config.QueueConfig;
import org.jspecify.annotations.Nullable;

/**
 * A stored cancellation. It also applies to a job whose submission becomes known later, because the
 * entry that stores it may not have heard of the job yet.
 *
 * <p>It names the route of the request beside the queue: a configuration may give the route on
 * which the job was accepted to another queue, and an entry that does not know the job finds only
 * that one.
 *
 * @param queue queue that the caller named; empty for any
 * @param account client account of the caller; a job of another account is not cancelled; empty for
 *     none
 * @param host host name of the route that the caller named
 * @param pathPrefix path prefix of that route; empty, as the host, if an earlier build stored the
 *     cancellation
 */
public record Cancellation(String queue, String account, String host, String pathPrefix) {
    /**
     * Creates a cancellation that names no route, as earlier builds stored it.
     *
     * @param queue queue that the caller named; empty for any
     * @param account client account of the caller; empty for none
     */
    public Cancellation(String queue, String account) {
        this(queue, account, "", "");
    }

    /**
     * Encodes the cancellation. The route follows on the fields that older builds know; they read
     * only these.
     *
     * @return value of its record
     */
    public byte[] encode() {
        return new Writer().text(queue).text(account).text(host).text(pathPrefix).toBytes();
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
            String queue = reader.text();
            String account = reader.hasNext() ? reader.text() : "";
            return reader.hasNext()
                    ? new Cancellation(queue, account, reader.text(), reader.text())
                    : new Cancellation(queue, account);
        } catch (Reader.MalformedInputException e) {
            return new Cancellation("", "");
        }
    }

    /**
     * Returns whether the cancellation applies to a job.
     *
     * @param submission submission of the job with the id that is cancelled
     * @return false if the job is of another account, or is in another queue and was not accepted
     *     on the route
     */
    public boolean appliesTo(Submission submission) {
        return queue.isEmpty()
                || (account.equals(submission.account())
                        && (queue.equals(submission.queue())
                                || isRouteOf(submission.acceptedQueue())));
    }

    private boolean isRouteOf(@Nullable QueueConfig acceptedQueue) {
        return acceptedQueue != null
                && !(host.isEmpty() && pathPrefix.isEmpty())
                && host.equalsIgnoreCase(acceptedQueue.host())
                && pathPrefix.equals(acceptedQueue.pathPrefix());
    }
}
