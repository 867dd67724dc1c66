import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;

/** Stand-in of a minion that is called (control mode call) and guards its capacity. */
final class Minion {
    static final long HEARTBEAT_MILLIS = 1_500;
    static final long HOLD_MAX_MILLIS = 6_000;
    static final long CHECKPOINT_MILLIS = 2_000;
    private static final long STOP_MILLIS = 100;

    /** What the tasks of a job do: "work" in milliseconds (0: until stopped), by task. */
    interface Work {
        long millis(String task);

        /** Whether the run ends as failed instead of done. */
        default boolean fails(String task) {
            return false;
        }

        /** The checkpoint that a run has after so many periods; empty for none. */
        default String checkpoint(String task, long periods) {
            return "";
        }

        /** The rough figure of the task's load in the list of what runs. */
        default long load(String task) {
            return cpu(task);
        }

        long cpu(String task);

        long memory(String task);
    }

    /** One run of a task. */
    static final class Run {
        final String mTask;
        final long mAttempt;
        final String mMinion;
        final long mStartedMillis = Log.millis();
        String mCheckpoint = "";
        long mStopAtMillis = Long.MAX_VALUE;
        long mEndedMillis = Long.MAX_VALUE;
        String mHow = "";

        Run(String task, long attempt, String minion) {
            mTask = task;
            mAttempt = attempt;
            mMinion = minion;
        }

        @Override
        public String toString() {
            return mTask + " run " + mAttempt + " on " + mMinion + " from " + mStartedMillis
                    + (mHow.isEmpty() ? "" : " to " + mEndedMillis + " " + mHow);
        }
    }

    private record End(long number, Run run) {}

    private final Store mStore;
    private final List<Run> mAllRuns;
    private final Work mWork;
    private final String mId;
    private final String mHost;
    private final String mKind;
    private final long mRegisterMillis;
    private final long mCpu;
    private final long mMemory;
    private final long mStartMillis = Log.millis();
    private final long mBornMillis = System.currentTimeMillis();
    private final HttpServer mServer;
    private final Map<String, Run> mRunning = new LinkedHashMap<>();
    private final List<End> mEnds = new ArrayList<>();
    private final Map<String, Long> mClosed = new LinkedHashMap<>();
    private long mEndCount;
    private long mToken;
    private long mLeaseMillis;
    private boolean mLogsStarts = true;
    private volatile String mHeldJob = "";
    private volatile Map<String, Object> mHeldStart;
    private volatile boolean mUp = true;

    Minion(Store store, int number, long cpu, long memory, Work work, List<Run> allRuns)
            throws IOException {
        this(store, number, cpu, memory, work, allRuns, "a", 0, 0);
    }

    /**
     * Starts a minion.
     *
     * @param kind its first label
     * @param port its port; 0 for any
     * @param registerMillis when it writes its first entry, counted from its start
     */
    Minion(
            Store store,
            int number,
            long cpu,
            long memory,
            Work work,
            List<Run> allRuns,
            String kind,
            int port,
            long registerMillis)
            throws IOException {
        mKind = kind;
        mRegisterMillis = registerMillis;
        mStore = store;
        mId = String.format("i-7f3a91c%d", number);
        mHost = "127.0.1." + (10 + number);
        mCpu = cpu;
        mMemory = memory;
        mWork = work;
        mAllRuns = allRuns;
        mServer =
                Web.listen(
                        mHost,
                        port,
                        Map.of(
                                "/hornbeamward/run-start", call -> handle(call, this::start),
                                "/hornbeamward/run-stop", call -> handle(call, this::stop),
                                "/hornbeamward/hold", call -> handle(call, this::hold),
                                "/hornbeamward/pace", call -> handle(call, this::pace),
                                "/health", call -> Web.reply(call, 200, "")));
        Thread.ofPlatform().daemon().start(this::work);
    }

    /** Logs no single starts and ends, for jobs with hundreds of tasks. */
    void beBrief() {
        mLogsStarts = false;
    }

    /** Crashes for good: what runs ends, and nothing answers at its address any more. */
    void crash() {
        synchronized (this) {
            mUp = false;
            for (Run run : mRunning.values()) {
                run.mHow = "crashed";
                run.mEndedMillis = Log.millis();
            }
            Log.line(mId, "crashes with " + mRunning.size() + " runs");
            mRunning.clear();
            notifyAll();
        }
        mServer.stop(0);
    }

    /** The next start of a task of a job gets no answer; it is kept and not carried out yet. */
    void holdStartOf(String job) {
        mHeldJob = job;
    }

    /** Returns the start that got no answer; null if none did. */
    Map<String, Object> heldStart() {
        return mHeldStart;
    }

    /** Carries out a start that an earlier call asked for, late and without an answer. */
    void carryOutLate(Map<String, Object> body) {
        long[] status = {200};
        String fields;
        synchronized (this) {
            check();
            long token = Json.number(body, "fencing_token");
            if (token < mToken) {
                fields = refuse(status, "fence");
            } else {
                mToken = token;
                fields = start(body, status);
            }
        }
        Log.line(mId, "late start of " + body + ": " + status[0] + fields + " at " + clock());
    }

    String id() {
        return mId;
    }

    String kind() {
        return mKind;
    }

    int port() {
        return mServer.getAddress().getPort();
    }

    /** Processor time in use, in thousandths of a core. */
    synchronized long cpuInUse() {
        return mRunning.values().stream().mapToLong(run -> mWork.cpu(run.mTask)).sum();
    }

    synchronized int runningCount() {
        return mRunning.size();
    }

    private long clock() {
        return Log.millis() - mStartMillis + 1_000;
    }

    private void work() {
        long beatMillis = Log.millis() + mRegisterMillis;
        long sequence = 1;
        while (mUp) {
            check();
            if (Log.millis() >= beatMillis) {
                beatMillis = Log.millis() + HEARTBEAT_MILLIS;
                String entry =
                        "{\"service\":\"work-desk\",\"address\":\"%s:%d\",\"zone\":\"zone-%d\","
                                + "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
                                + "\"warmup_left_ms\":0,\"labels\":[\"%s\",\"r1-1\"],"
                                + "\"capacity\":{\"cpu\":%d,\"mem_mb\":%d,\"gpu\":0},"
                                + "\"clock_ms\":%d,\"born\":%d,\"sequence\":%d}";
                mStore.put(
                        "keyed.servers",
                        mId,
                        String.format(
                                entry, mHost, port(), 1, mKind, mCpu, mMemory,
                                clock(), mBornMillis, sequence++));
            }
            Log.sleep(10);
        }
    }

    private synchronized void check() {
        long now = Log.millis();
        boolean leased = clock() <= mLeaseMillis;
        for (Run run : List.copyOf(mRunning.values())) {
            long age = now - run.mStartedMillis;
            String saved = mWork.checkpoint(run.mTask, age / CHECKPOINT_MILLIS);
            run.mCheckpoint = saved.isEmpty() ? run.mCheckpoint : saved;
            long millis = mWork.millis(run.mTask);
            if (!leased) {
                end(run, "lapsed");
            } else if (now >= run.mStopAtMillis) {
                end(run, "stopped");
            } else if (millis > 0 && age >= millis) {
                end(run, mWork.fails(run.mTask) ? "failed" : "done");
            }
        }
    }

    private void end(Run run, String how) {
        mRunning.remove(run.mTask);
        mClosed.merge(run.mTask, run.mAttempt, Math::max);
        run.mHow = how;
        run.mEndedMillis = Log.millis();
        mEnds.add(new End(++mEndCount, run));
        if (mLogsStarts) {
            Log.line(mId, "end " + run);
        }
        notifyAll();
    }

    private void handle(
            HttpExchange call, BiFunction<Map<String, Object>, long[], String> operation)
            throws IOException {
        Map<String, Object> body =
                Json.object(
                        new String(call.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
        String expected = call.getRequestHeaders().getFirst("X-Expect-Instance");
        if (expected != null && !expected.equals(mId)) {
            Web.reply(call, 421, "{\"clock_ms\":" + clock() + "}");
            return;
        }
        if (!mHeldJob.isEmpty() && Json.text(body, "spec").equals(mHeldJob)) {
            mHeldJob = "";
            mHeldStart = body;
            Log.line(mId, "leaves the start of " + Json.text(body, "task") + " unanswered");
            Log.sleep(10_000);
            call.close();
            return;
        }
        long[] status = {200};
        String fields;
        synchronized (this) {
            check();
            long token = Json.number(body, "fencing_token");
            if (token < mToken) {
                status[0] = 409;
                fields = ",\"reason\":\"fence\"";
            } else {
                mToken = token;
                fields = operation.apply(body, status);
            }
            fields = "{\"clock_ms\":" + clock() + fields + "}";
        }
        Web.reply(call, (int) status[0], fields);
    }

    private void lease(Map<String, Object> body) {
        if (body.containsKey("deadline_ms")) {
            long until = Math.min(Json.number(body, "deadline_ms"), clock() + HOLD_MAX_MILLIS);
            mLeaseMillis = Math.max(mLeaseMillis, until);
        }
    }

    private static String refuse(long[] status, String reason) {
        status[0] = 409;
        return ",\"reason\":\"" + reason + "\"";
    }

    private String start(Map<String, Object> body, long[] status) {
        String task = Json.text(body, "task");
        long attempt = Json.number(body, "attempt");
        Run present = mRunning.get(task);
        if (present != null && present.mAttempt == attempt) {
            lease(body);
            return "";
        }
        if (mClosed.getOrDefault(task, 0L) >= attempt || present != null) {
            lease(body);
            return refuse(status, "old");
        }
        if (Json.number(body, "deadline_ms") <= clock()) {
            return refuse(status, "late");
        }
        lease(body);
        long cpu = mWork.cpu(task);
        long memory = mWork.memory(task);
        for (Run run : mRunning.values()) {
            cpu += mWork.cpu(run.mTask);
            memory += mWork.memory(run.mTask);
        }
        if (cpu > mCpu || memory > mMemory) {
            return refuse(status, "room");
        }
        Run run = new Run(task, attempt, mId);
        run.mCheckpoint = Json.text(body, "checkpoint");
        mRunning.put(task, run);
        synchronized (mAllRuns) {
            mAllRuns.add(run);
        }
        if (mLogsStarts) {
            Log.line(mId, "start " + run + " by token " + mToken + ", kind " + mKind);
        }
        return "";
    }

    private String stop(Map<String, Object> body, long[] status) {
        String task = Json.text(body, "task");
        long attempt = Json.number(body, "attempt");
        Run run = mRunning.get(task);
        if (run != null && run.mAttempt == attempt) {
            run.mStopAtMillis = Math.min(run.mStopAtMillis, Log.millis() + STOP_MILLIS);
        } else {
            mClosed.merge(task, attempt, Math::max);
        }
        if (mLogsStarts) {
            Log.line(mId, "stop of " + task + " run " + attempt);
        }
        return "";
    }

    private String pace(Map<String, Object> body, long[] status) {
        return "";
    }

    private String hold(Map<String, Object> body, long[] status) {
        lease(body);
        long acknowledged = Json.number(body, "ack_cursor");
        mEnds.removeIf(end -> end.number() <= acknowledged);
        long until = Log.millis() + Json.number(body, "wait_ms");
        while (mUp && mEnds.isEmpty() && Log.millis() < until) {
            try {
                wait(Math.max(1, until - Log.millis()));
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
        List<String> running = new ArrayList<>();
        for (Run run : mRunning.values()) {
            long millis = mWork.millis(run.mTask);
            long percent =
                    millis == 0
                            ? 100
                            : Math.min(99, 100 * (Log.millis() - run.mStartedMillis) / millis);
            running.add(
                    "[" + Json.quote(run.mTask) + "," + run.mAttempt + ","
                            + Json.quote(run.mCheckpoint) + "," + percent + ","
                            + mWork.load(run.mTask) + "]");
        }
        List<String> finished = new ArrayList<>();
        for (End end : mEnds.subList(0, Math.min(500, mEnds.size()))) {
            Run run = end.run();
            finished.add(
                    "[" + end.number() + "," + Json.quote(run.mTask) + "," + run.mAttempt + ",\""
                            + run.mHow + "\"," + Json.quote(run.mCheckpoint) + "]");
        }
        return ",\"born\":" + mBornMillis + ",\"running\":[" + String.join(",", running)
                + "],\"finished\":[" + String.join(",", finished) + "]";
    }
}
