package org.hornbeamward.lib;

import io.vavr.control.Either;
import org.hornbeamward.errors.MalformedId;

/**
 * The id of one task of a job. Its text form is {@code job/index}.
 *
 * @param job the job
 * @param index position within the job, from 0
 */
public record TaskId(JobId job, int index) implements Comparable<TaskId> {

    /**
     * Parses the text form.
     *
     * @param text {@code job/index}
     * @return the id, or an error that quotes the text
     */
    public static Either<MalformedId, TaskId> parse(String text) {
        int slash = text.lastIndexOf('/');
        if (slash < 0) {
            return Either.left(new MalformedId("task", text));
        }
        String digits = text.substring(slash + 1);
        if (!digits.matches("[0-9]{1,6}")) {
            return Either.left(new MalformedId("task", text));
        }
        return JobId.parse(text.substring(0, slash))
                .map(job -> new TaskId(job, Integer.parseInt(digits)));
    }

    @Override
    public int compareTo(TaskId other) {
        int byJob = job.compareTo(other.job);
        return byJob != 0 ? byJob : Integer.compare(index, other.index);
    }

    @Override
    public String toString() {
        return job + "/" + index;
    }
}
