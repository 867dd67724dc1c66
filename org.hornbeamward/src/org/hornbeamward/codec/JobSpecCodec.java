package org.hornbeamward.codec;

import org.hornbeamward.command.JobKind;
import org.hornbeamward.command.JobSpec;

/** Encodes job declarations in records and snapshots. */
public final class JobSpecCodec {
    private static final int FIELD_COUNT = 12;

    private JobSpecCodec() {}

    /**
     * Writes a declaration.
     *
     * @param out where to write
     * @param spec the declaration
     */
    public static void write(Writer out, JobSpec spec) {
        out.array(FIELD_COUNT)
                .text(spec.id())
                .text(spec.team())
                .text(spec.className())
                .integer(spec.kind().ordinal())
                .integer(spec.taskCount())
                .resources(spec.resources())
                .bool(spec.urgent())
                .bool(spec.checkpointable())
                .integer(spec.expectedRunMillis())
                .integer(spec.agreedPeriodMillis());
    }

    /**
     * Reads a declaration.
     *
     * @param in where to read
     * @return the declaration
     */
    public static JobSpec read(Reader in) {
        in.array(FIELD_COUNT);
        return new JobSpec(
                in.job(),
                in.team(),
                in.text(),
                in.constant(JobKind.values()),
                in.int32(),
                in.resources(),
                in.bool(),
                in.bool(),
                in.integer(),
                in.integer());
    }
}
