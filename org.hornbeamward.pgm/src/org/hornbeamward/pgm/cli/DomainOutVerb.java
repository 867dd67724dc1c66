package org.hornbeamward.pgm.cli;

import io.vavr.control.Either;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Takes a failure domain out of service. */
@Command(name = "out", description = "Takes a failure domain out of service.")
final class DomainOutVerb extends Verb {
    private static final long MILLIS_PER_SECOND = 1000;

    @Mixin private DomainChange mChange = new DomainChange();

    @Option(
            names = "--notice-seconds",
            paramLabel = "S",
            defaultValue = "30",
            description = "time that batch tasks have for a checkpoint (default ${DEFAULT-VALUE})")
    private int mNoticeSeconds;

    @Option(names = "--lost", description = "its machines are known to be off")
    private boolean mLost;

    @Override
    Either<CliFailure, Result> run() {
        return withClient(
                client ->
                        mChange.send(
                                client,
                                "out",
                                DomainChange.emptyBody()
                                        .put("noticeMillis", mNoticeSeconds * MILLIS_PER_SECOND)
                                        .put("lost", mLost),
                                "is taken out"));
    }
}
