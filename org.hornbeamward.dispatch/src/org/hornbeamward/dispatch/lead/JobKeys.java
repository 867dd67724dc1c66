package org.hornbeamward.dispatch.lead;

import io.vavr.control.Option;
import org.hornbeamward.lib.JobId;

/** Formats and parses the record keys of the jobs topic. */
public final class JobKeys {
    private static final String SUBMISSION = "j/";
    private static final String CANCELLATION = "c/";

    private JobKeys() {}

    /**
     * A parsed key.
     *
     * @param job id of the job
     * @param cancellation whether the record cancels the job
     */
    record Parsed(JobId job, boolean cancellation) {}

    /**
     * Returns the key of a submission.
     *
     * @param job id of the job
     * @return key of its submission record
     */
    public static String submission(JobId job) {
        return SUBMISSION + job;
    }

    /**
     * Returns the key of a cancellation.
     *
     * @param job id of the job
     * @return key of its cancellation record
     */
    public static String cancellation(JobId job) {
        return CANCELLATION + job;
    }

    static Option<Parsed> parse(String key) {
        boolean cancellation = key.startsWith(CANCELLATION);
        if (!cancellation && !key.startsWith(SUBMISSION)) {
            return Option.none();
        }
        return JobId.parse(key.substring(SUBMISSION.length()))
                .toOption()
                .map(job -> new Parsed(job, cancellation));
    }
}
