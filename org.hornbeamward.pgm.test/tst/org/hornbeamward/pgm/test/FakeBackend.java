package org.hornbeamward.pgm.test;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.time.YearMonth;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.hornbeamward.command.BringBackDomain;
import org.hornbeamward.command.CancelJob;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.CommandBatch;
import org.hornbeamward.command.JoinMember;
import org.hornbeamward.command.PublishConfig;
import org.hornbeamward.command.ReleaseWorker;
import org.hornbeamward.command.SubmitJob;
import org.hornbeamward.command.TakeOutDomain;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.RegionId;
import org.hornbeamward.pgm.admin.AdminBackend;
import org.hornbeamward.pgm.admin.ConfigHistory;
import org.hornbeamward.pgm.admin.StateViews;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.CommandResult;
import org.jspecify.annotations.Nullable;

/**
 * An admin backend that applies commands immediately to a state in memory, or fails them with a
 * given error.
 */
final class FakeBackend implements AdminBackend {
    static final long LOG_TIME_MILLIS = 1_796_083_200_000L;
    private static final InstanceId INSTANCE = new InstanceId("entry-1");

    final ClusterState mState = new ClusterState();
    final ConfigHistory mHistory = new ConfigHistory();
    final List<Command> mCommands = new ArrayList<>();
    volatile @Nullable HornbeamwardError mForcedError;
    volatile String mNotReady = "";
    private long mSequence;

    FakeBackend() {
        run(
                new JoinMember(
                        INSTANCE,
                        1,
                        new FailureDomainId("east"),
                        new RegionId("here"),
                        "127.0.0.1:1",
                        "127.0.0.1:2"));
    }

    Either<HornbeamwardError, Long> run(Command command) {
        mCommands.add(command);
        HornbeamwardError forced = mForcedError;
        if (forced != null) {
            return Either.left(forced);
        }
        mSequence++;
        CommandBatch batch =
                new CommandBatch(INSTANCE, 1, mSequence, LOG_TIME_MILLIS, List.of(command));
        CommandResult result = mState.apply(mState.nextOffset(), batch).get(0);
        mHistory.record(result, mState.logTimeMillis());
        HornbeamwardError rejection = result.rejection();
        return rejection == null ? Either.right(result.token()) : Either.left(rejection);
    }

    void configure(String... keysAndValues) {
        TreeMap<String, String> entries = new TreeMap<>();
        for (int index = 0; index < keysAndValues.length; index += 2) {
            entries.put(keysAndValues[index], keysAndValues[index + 1]);
        }
        run(new PublishConfig("setup-" + mSequence, mState.config().version(), entries)).get();
    }

    private CompletionStage<Either<HornbeamwardError, Long>> complete(Command command) {
        return CompletableFuture.completedStage(run(command));
    }

    private <T> CompletionStage<Either<HornbeamwardError, T>> view(T view) {
        HornbeamwardError forced = mForcedError;
        return CompletableFuture.completedStage(
                forced == null ? Either.right(view) : Either.left(forced));
    }

    @Override
    public CompletionStage<Either<HornbeamwardError, JsonNode>> config() {
        return view(StateViews.config(mState));
    }

    @Override
    public CompletionStage<Either<HornbeamwardError, JsonNode>> configHistory() {
        return view(mHistory.view());
    }

    @Override
    public CompletionStage<Either<HornbeamwardError, Long>> publishConfig(PublishConfig command) {
        return complete(command);
    }

    @Override
    public CompletionStage<Either<HornbeamwardError, JsonNode>> domains() {
        return view(StateViews.domains(mState));
    }

    @Override
    public CompletionStage<Either<HornbeamwardError, Long>> takeOutDomain(TakeOutDomain command) {
        return complete(command);
    }

    @Override
    public CompletionStage<Either<HornbeamwardError, Long>> bringBackDomain(
            BringBackDomain command) {
        return complete(command);
    }

    @Override
    public CompletionStage<Either<HornbeamwardError, Long>> submitJob(SubmitJob command) {
        return complete(command);
    }

    @Override
    public CompletionStage<Either<HornbeamwardError, JsonNode>> jobs() {
        return view(StateViews.jobs(mState));
    }

    @Override
    public CompletionStage<Either<HornbeamwardError, Optional<JsonNode>>> job(JobId job) {
        return view(StateViews.job(mState, job));
    }

    @Override
    public CompletionStage<Either<HornbeamwardError, Long>> cancelJob(CancelJob command) {
        return complete(command);
    }

    @Override
    public CompletionStage<Either<HornbeamwardError, JsonNode>> workers() {
        return view(StateViews.workers(mState));
    }

    @Override
    public CompletionStage<Either<HornbeamwardError, Long>> releaseWorker(ReleaseWorker command) {
        return complete(command);
    }

    @Override
    public CompletionStage<Either<HornbeamwardError, JsonNode>> members() {
        return view(StateViews.members(mState));
    }

    @Override
    public CompletionStage<Either<HornbeamwardError, JsonNode>> review(YearMonth month) {
        return view(StateViews.review(mState, month));
    }

    @Override
    public CompletionStage<Either<HornbeamwardError, JsonNode>> state() {
        return view(StateViews.dump(mState));
    }

    @Override
    public Optional<String> notReadyReason() {
        return mNotReady.isEmpty() ? Optional.empty() : Optional.of(mNotReady);
    }
}
