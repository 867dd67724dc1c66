package org.hornbeamward.pgm.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.time.YearMonth;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import org.hornbeamward.command.BringBackDomain;
import org.hornbeamward.command.CancelJob;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.PublishConfig;
import org.hornbeamward.command.ReleaseWorker;
import org.hornbeamward.command.SubmitJob;
import org.hornbeamward.command.TakeOutDomain;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.LogUnavailable;
import org.hornbeamward.errors.RingFull;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.MonotonicClock;
import org.hornbeamward.pgm.admin.AdminBackend;
import org.hornbeamward.pgm.admin.StateViews;

/** Serves the admin API with actions that run on the control duty. Thread-safe. */
final class EntryBackend implements AdminBackend {
    private final ControlRing mRing;
    private final AppenderDuty mAppenders;
    private final BooleanSupplier mReady;
    private final Consumer<ObjectNode> mProcessDump;
    private final MonotonicClock mClock;

    EntryBackend(
            ControlRing ring,
            AppenderDuty appenders,
            BooleanSupplier ready,
            Consumer<ObjectNode> processDump,
            MonotonicClock clock) {
        mRing = ring;
        mAppenders = appenders;
        mReady = ready;
        mProcessDump = processDump;
        mClock = clock;
    }

    private <T> CompletionStage<Either<HornbeamwardError, T>> read(Function<ControlDuty, T> view) {
        CompletableFuture<Either<HornbeamwardError, T>> answer = new CompletableFuture<>();
        Either<RingFull, Void> offered =
                mRing.offer(
                        new ControlEvent.RunAction(
                                control -> answer.complete(Either.right(view.apply(control)))));
        offered.peekLeft(full -> answer.complete(Either.left(full)));
        return answer;
    }

    private CompletionStage<Either<HornbeamwardError, Long>> append(
            String commandId, Command command) {
        CompletableFuture<Either<HornbeamwardError, Long>> answer = new CompletableFuture<>();
        Incarnation incarnation = mAppenders.current();
        if (incarnation == null || incarnation.appender().isUnavailable()) {
            answer.complete(Either.left(new LogUnavailable("the command was not appended")));
            return answer;
        }
        Either<RingFull, Void> offered =
                mRing.offer(
                        new ControlEvent.RunAction(
                                control -> {
                                    control.pending().add(commandId, answer, mClock.nowNanos());
                                    control.offer(command);
                                }));
        offered.peekLeft(full -> answer.complete(Either.left(full)));
        return answer;
    }

    @Override
    public CompletionStage<Either<HornbeamwardError, JsonNode>> config() {
        return read(control -> StateViews.config(control.state()));
    }

    @Override
    public CompletionStage<Either<HornbeamwardError, JsonNode>> configHistory() {
        return read(control -> control.history().view());
    }

    @Override
    public CompletionStage<Either<HornbeamwardError, Long>> publishConfig(PublishConfig command) {
        return append(command.commandId(), command);
    }

    @Override
    public CompletionStage<Either<HornbeamwardError, JsonNode>> domains() {
        return read(control -> StateViews.domains(control.state()));
    }

    @Override
    public CompletionStage<Either<HornbeamwardError, Long>> takeOutDomain(TakeOutDomain command) {
        return append(command.commandId(), command);
    }

    @Override
    public CompletionStage<Either<HornbeamwardError, Long>> bringBackDomain(
            BringBackDomain command) {
        return append(command.commandId(), command);
    }

    @Override
    public CompletionStage<Either<HornbeamwardError, Long>> submitJob(SubmitJob command) {
        return append(command.commandId(), command);
    }

    @Override
    public CompletionStage<Either<HornbeamwardError, JsonNode>> jobs() {
        return read(control -> StateViews.jobs(control.state()));
    }

    @Override
    public CompletionStage<Either<HornbeamwardError, Optional<JsonNode>>> job(JobId job) {
        return read(control -> StateViews.job(control.state(), job));
    }

    @Override
    public CompletionStage<Either<HornbeamwardError, Long>> cancelJob(CancelJob command) {
        return append(command.commandId(), command);
    }

    @Override
    public CompletionStage<Either<HornbeamwardError, JsonNode>> workers() {
        return read(control -> StateViews.workers(control.state()));
    }

    @Override
    public CompletionStage<Either<HornbeamwardError, Long>> releaseWorker(ReleaseWorker command) {
        return append(command.commandId(), command);
    }

    @Override
    public CompletionStage<Either<HornbeamwardError, JsonNode>> members() {
        return read(control -> StateViews.members(control.state()));
    }

    @Override
    public CompletionStage<Either<HornbeamwardError, JsonNode>> review(YearMonth month) {
        return read(control -> StateViews.review(control.state(), month));
    }

    @Override
    public CompletionStage<Either<HornbeamwardError, JsonNode>> state() {
        return read(
                control -> {
                    ObjectNode dump = StateViews.dump(control.state());
                    dump.put("active", control.active());
                    mProcessDump.accept(dump);
                    return dump;
                });
    }

    @Override
    public Optional<String> notReadyReason() {
        return mReady.getAsBoolean()
                ? Optional.empty()
                : Optional.of("it is starting, stopping, or not an active member");
    }
}
