package org.hornbeamward.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hornbeamward.command.BringBackDomain;
import org.hornbeamward.command.CancelJob;
import org.hornbeamward.command.ChangeSlots;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.CommandBatch;
import org.hornbeamward.command.EndTask;
import org.hornbeamward.command.IdentifiedCommand;
import org.hornbeamward.command.JobKind;
import org.hornbeamward.command.JobSpec;
import org.hornbeamward.command.JoinMember;
import org.hornbeamward.command.LeaveMember;
import org.hornbeamward.command.PlaceTask;
import org.hornbeamward.command.PublishConfig;
import org.hornbeamward.command.RecordCheckpoint;
import org.hornbeamward.command.RegisterWorker;
import org.hornbeamward.command.RejectJob;
import org.hornbeamward.command.ReleaseWorker;
import org.hornbeamward.command.RemoveAbsentMember;
import org.hornbeamward.command.RemoveLostWorker;
import org.hornbeamward.command.RenewMember;
import org.hornbeamward.command.ReportFigures;
import org.hornbeamward.command.StopTask;
import org.hornbeamward.command.SubmitJob;
import org.hornbeamward.command.SuspectMember;
import org.hornbeamward.command.TakeOutDomain;
import org.hornbeamward.command.TrustMember;
import org.hornbeamward.errors.CommandRejected;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.lib.FencingToken;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.member.Roles;
import org.hornbeamward.state.Figures.TeamFigures;
import org.jspecify.annotations.Nullable;

/**
 * The replicated state machine. The state is a deterministic function of the records of the control
 * stream: every member applies the same records in the same order and reaches the same state.
 * Confined to the thread that applies the log.
 */
public final class ClusterState {
    final MemberTable mMembers = new MemberTable();
    final ConfigTable mConfig = new ConfigTable();
    final DomainTable mDomains = new DomainTable();
    final WorkTable mWork = new WorkTable();
    final SlotTable mSlots = new SlotTable();
    final Figures mFigures = new Figures();
    final VerdictTable mVerdicts = new VerdictTable();
    long mNextOffset;
    long mLogTimeMillis;

    /** Creates the state before the first record. */
    public ClusterState() {}

    /**
     * Applies one record of the control stream.
     *
     * @param offset its offset, at least {@link #nextOffset()}
     * @param batch its decoded commands
     * @return the result of each command in order; empty if the whole batch was ignored because it
     *     is a duplicate or out of sequence
     * @throws IllegalArgumentException if the offset was already applied or skipped
     */
    public List<CommandResult> apply(long offset, CommandBatch batch) {
        skip(offset);
        Optional<Member> author = mMembers.find(batch.author(), batch.authorIncarnation());
        long lastSequence = author.map(Member::lastSequence).orElse(0L);
        if (batch.sequence() != lastSequence + 1) {
            return List.of();
        }
        author.ifPresent(
                member ->
                        mMembers.mMembers.put(
                                member.instance(),
                                member.withBatch(batch.sequence(), batch.authorWallMillis())));
        updateLogTime();
        List<CommandResult> results = new ArrayList<>(batch.commands().size());
        for (int index = 0; index < batch.commands().size(); index++) {
            Command command = batch.commands().get(index);
            long token = FencingToken.of(offset, index);
            results.add(new CommandResult(token, command, applyCommand(batch, command, token)));
        }
        return results;
    }

    /**
     * Skips a record that cannot be decoded, so that every member ignores the same records.
     *
     * @param offset its offset, at least {@link #nextOffset()}
     * @throws IllegalArgumentException if the offset was already applied or skipped
     */
    public void skip(long offset) {
        if (offset < mNextOffset) {
            throw new IllegalArgumentException(
                    "offset " + offset + " was already applied or skipped");
        }
        mNextOffset = offset + 1;
    }

    /**
     * Returns the members.
     *
     * @return live view
     */
    public MemberTable members() {
        return mMembers;
    }

    /**
     * Returns the configuration.
     *
     * @return live view
     */
    public ConfigTable config() {
        return mConfig;
    }

    /**
     * Returns the failure domains.
     *
     * @return live view
     */
    public DomainTable domains() {
        return mDomains;
    }

    /**
     * Returns jobs, tasks and workers.
     *
     * @return live view
     */
    public WorkTable work() {
        return mWork;
    }

    /**
     * Returns the slots of endpoints.
     *
     * @return live view
     */
    public SlotTable slots() {
        return mSlots;
    }

    /**
     * Returns the review figures.
     *
     * @return live view
     */
    public Figures figures() {
        return mFigures;
    }

    /**
     * Returns the verdicts on recent commands of operators and callers.
     *
     * @return live view
     */
    public VerdictTable verdicts() {
        return mVerdicts;
    }

    /**
     * Returns the offset of the next record to read.
     *
     * @return one more than the last applied or skipped offset
     */
    public long nextOffset() {
        return mNextOffset;
    }

    /**
     * Returns the log time, which only determines the month that review figures count for.
     *
     * @return highest median of the members' wall clocks so far, in milliseconds since the Unix
     *     epoch
     */
    public long logTimeMillis() {
        return mLogTimeMillis;
    }

    private @Nullable HornbeamwardError applyCommand(
            CommandBatch batch, Command command, long token) {
        if (command instanceof JoinMember join) {
            return join(batch, join, token);
        }
        if (mMembers.find(batch.author(), batch.authorIncarnation()).isEmpty()) {
            return new CommandRejected(
                    "instance " + batch.author(), "it is not a member; join again first");
        }
        if (!(command instanceof IdentifiedCommand identified)) {
            return applyMemberCommand(batch, command, token);
        }
        String commandId = identified.commandId();
        Optional<VerdictTable.Verdict> first = mVerdicts.find(commandId);
        if (first.isPresent()) {
            String verdict =
                    first.get().rejection().isEmpty()
                            ? "accepted under token " + first.get().token()
                            : first.get().rejection();
            return new CommandRejected("command " + commandId, "repeated; first " + verdict);
        }
        HornbeamwardError rejection = applyMemberCommand(batch, command, token);
        mVerdicts.store(commandId, VerdictTable.Verdict.of(token, rejection));
        return rejection;
    }

    private @Nullable HornbeamwardError applyMemberCommand(
            CommandBatch batch, Command command, long token) {
        InstanceId author = batch.author();
        return switch (command) {
            case JoinMember join ->
                    throw new IllegalStateException("joins are applied before this switch");
            case LeaveMember leave -> leave(author, token);
            case SuspectMember suspect -> suspect(author, suspect, token);
            case TrustMember trust ->
                    mMembers.trust(author, trust.target(), trust.targetIncarnation());
            case RemoveAbsentMember remove -> removeAbsent(author, remove, token);
            case RenewMember renew -> renew(author, renew);
            case PublishConfig publish -> mConfig.publish(publish, token);
            case TakeOutDomain takeOut -> takeOut(takeOut, token);
            case BringBackDomain bringBack -> mDomains.bringBack(bringBack, token);
            case SubmitJob submit -> mWork.submit(submit.job(), token, mConfig.configuration());
            case CancelJob cancel -> mWork.cancel(cancel.job());
            case RejectJob reject -> mWork.rejectJob(reject.job(), reject.reason());
            case PlaceTask place -> place(place, token);
            case StopTask stop -> mWork.stop(stop);
            case RecordCheckpoint record -> mWork.recordCheckpoint(record);
            case EndTask end -> endTask(end);
            case RegisterWorker register -> registerWorker(author, register);
            case RemoveLostWorker remove -> removeLostWorker(author, remove);
            case ReleaseWorker release -> mWork.releaseWorker(release.worker());
            case ChangeSlots change -> changeSlots(author, change);
            case ReportFigures report ->
                    mFigures.report(author, batch.authorIncarnation(), report, mLogTimeMillis);
        };
    }

    private @Nullable HornbeamwardError join(CommandBatch batch, JoinMember join, long token) {
        boolean own =
                join.instance().equals(batch.author())
                        && join.incarnation() == batch.authorIncarnation();
        if (!own) {
            return MemberTable.rejected(
                    join.instance(), "an instance can only join on its own behalf");
        }
        List<Member> removed = new ArrayList<>();
        HornbeamwardError rejection =
                mMembers.join(join, batch.sequence(), batch.authorWallMillis(), token, removed);
        freeSlots(removed, token);
        updateLogTime();
        return rejection;
    }

    private void updateLogTime() {
        mMembers.medianWallMillis()
                .ifPresent(median -> mLogTimeMillis = Math.max(mLogTimeMillis, median));
    }

    private @Nullable HornbeamwardError leave(InstanceId author, long token) {
        Member member = mMembers.all().get(author);
        List<Member> removed = new ArrayList<>();
        if (member != null) {
            // A member that leaves cleanly has given back its slots; any that it still holds may
            // be in use.
            mMembers.remove(member, token, removed);
            freeSlots(removed, token);
        }
        removeSuspected(token);
        return null;
    }

    private @Nullable HornbeamwardError suspect(
            InstanceId author, SuspectMember suspect, long token) {
        HornbeamwardError rejection =
                mMembers.suspect(author, suspect.target(), suspect.targetIncarnation());
        removeSuspected(token);
        return rejection;
    }

    private @Nullable HornbeamwardError removeAbsent(
            InstanceId author, RemoveAbsentMember remove, long token) {
        Member target = mMembers.find(remove.target(), remove.targetIncarnation()).orElse(null);
        if (target == null || author.equals(remove.target())) {
            return MemberTable.rejected(remove.target(), "that incarnation is not another member");
        }
        List<Member> removed = new ArrayList<>();
        mMembers.remove(target, token, removed);
        freeSlots(removed, token);
        removeSuspected(token);
        return null;
    }

    private void removeSuspected(long token) {
        List<Member> removed = new ArrayList<>();
        mMembers.removeSuspected(token, removed);
        freeSlots(removed, token);
    }

    private void freeSlots(List<Member> removed, long token) {
        removed.forEach(member -> mSlots.removeMember(member.instance(), token));
    }

    private @Nullable HornbeamwardError renew(InstanceId author, RenewMember renew) {
        mMembers.mMembers.computeIfPresent(
                author,
                (id, member) -> member.withRenewal(renew.configVersion(), renew.demandSlotCount()));
        return null;
    }

    private @Nullable HornbeamwardError takeOut(TakeOutDomain takeOut, long token) {
        HornbeamwardError rejection = mDomains.takeOut(takeOut, token);
        if (rejection != null || !takeOut.lost()) {
            return rejection;
        }
        List<Member> removed = new ArrayList<>();
        for (Member member : List.copyOf(mMembers.all().values())) {
            if (member.join().failureDomain().equals(takeOut.failureDomain())) {
                mMembers.remove(member, token, removed);
            }
        }
        freeSlots(removed, token);
        return null;
    }

    private @Nullable HornbeamwardError place(PlaceTask place, long token) {
        HornbeamwardError rejection = mWork.place(place, token, mConfig.configuration(), mDomains);
        if (rejection == null) {
            mFigures.count(
                    mLogTimeMillis,
                    mWork.specOf(place.task()).team(),
                    new TeamFigures(1, 0, 0, 0, 0));
        }
        return rejection;
    }

    private @Nullable HornbeamwardError endTask(EndTask end) {
        int evictionsBefore = mWork.task(end.task()).map(TaskStatus::evictionCount).orElse(0);
        HornbeamwardError rejection = mWork.endTask(end);
        if (rejection != null) {
            return rejection;
        }
        TaskStatus task = mWork.task(end.task()).orElse(null);
        JobSpec spec = mWork.jobs().get(end.task().job()) == null ? null : mWork.specOf(end.task());
        if (task == null || spec == null) {
            return null;
        }
        boolean batch = spec.kind() == JobKind.BATCH;
        boolean finished = isEnded(task, TaskResult.FINISHED) && batch;
        boolean failed = isEnded(task, TaskResult.FAILED);
        boolean anyDomainOut =
                mDomains.changedDomains().values().stream().anyMatch(status -> !status.inService());
        mFigures.count(
                mLogTimeMillis,
                spec.team(),
                new TeamFigures(
                        0,
                        task.evictionCount() - evictionsBefore,
                        finished ? 1 : 0,
                        failed ? 1 : 0,
                        finished && anyDomainOut ? 1 : 0));
        return null;
    }

    private static boolean isEnded(TaskStatus task, TaskResult result) {
        return task.state() instanceof TaskState.Ended ended && ended.result() == result;
    }

    private @Nullable HornbeamwardError registerWorker(InstanceId author, RegisterWorker register) {
        if (!maySupervise(author, register.worker(), register.membershipEpoch())) {
            return notSupervisor(author, register.worker());
        }
        return mWork.registerWorker(register);
    }

    private @Nullable HornbeamwardError removeLostWorker(
            InstanceId author, RemoveLostWorker remove) {
        if (!maySupervise(author, remove.worker(), remove.membershipEpoch())) {
            return notSupervisor(author, remove.worker());
        }
        return mWork.removeLostWorker(remove.worker(), remove.incarnation());
    }

    /**
     * Tells whether an author may end or replace an incarnation of a worker. A command that was
     * issued before the last change of membership is rejected even if the author supervises the
     * worker again: it could end placements that another supervisor has renewed in the meantime.
     */
    private boolean maySupervise(InstanceId author, WorkerId worker, long membershipEpoch) {
        WorkerStatus known = mWork.workers().get(worker);
        if (known == null) {
            return true;
        }
        return membershipEpoch == mMembers.epoch()
                && Roles.supervisorOf(known.registration(), mMembers.all().values())
                        .filter(author::equals)
                        .isPresent();
    }

    private static CommandRejected notSupervisor(InstanceId author, WorkerId worker) {
        return new CommandRejected(
                "worker " + worker,
                "instance "
                        + author
                        + " is not its supervisor in this membership epoch; read the log further");
    }

    private @Nullable HornbeamwardError changeSlots(InstanceId author, ChangeSlots change) {
        mSlots.change(author, change, mConfig.configuration());
        return null;
    }
}
