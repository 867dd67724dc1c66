import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Stand-in of a minion (worker) as PROTOCOL.md describes it. The specification of a job tells it
 * how long a task works ("work=MILLIS") and, for a gang, the number of members and the work between
 * two checkpoints ("gang=COUNT save=MILLIS"). One object is one machine; it can crash and start
 * again.
 */
final class Minion {
    /** A run of a task, for the judgement of a case. */
    record Run(
            String task, int attempt, String minion, long born, long from, long to, String how) {}

    private static final long STOP_MILLIS = 20;
    private static final long GANG_TIMEOUT_MILLIS = 3_000;

    /** A run on the present incarnation. */
    static final class Running {
        String mTask;
        int mAttempt;
        long mFromMillis;
        long mWorkMillis;
        boolean mStopping;
        int mGangSize;
        long mSaveMillis;
        String mCheckpoint = "";
        Gang mGang;
    }

    private record End(long number, String task, int attempt, String how, String checkpoint) {}

    final String mId;
    private final Store mStore;
    private final String mHost;
    private final String mZone;
    private final List<String> mLabels;
    private final String mService;
    private final int mCpu;
    private final long mHeartbeatMillis;
    private final long mHoldMaxMillis;
    private int mPort;
    private String mPublicAddress;

    /** All runs of all incarnations, oldest first. */
    final List<Run> mHistory = new ArrayList<>();

    private HttpServer mServer;
    private boolean mUp;
    private boolean mHeard = true;
    private int mIncarnation;
    private long mBorn;
    private long mStartMillis;
    private long mSequence;
    private long mHighestToken;
    private long mLeaseEnd;
    private long mEndNumber;
    private final Map<String, Running> mRunning = new LinkedHashMap<>();
    private final List<End> mEnds = new ArrayList<>();
    private final Map<String, Integer> mClosedAttempts = new HashMap<>();

    Minion(
            Store store,
            String host,
            String id,
            String service,
            String zone,
            List<String> labels,
            int cpu,
            long heartbeatMillis,
            long holdMaxMillis) {
        mStore = store;
        mHost = host;
        mId = id;
        mService = service;
        mZone = zone;
        mLabels = labels;
        mCpu = cpu;
        mHeartbeatMillis = heartbeatMillis;
        mHoldMaxMillis = holdMaxMillis;
    }

    /** Starts an incarnation, which registers itself at once and then on every heartbeat. */
    synchronized void start() throws IOException {
        mServer = Http.listen(mHost, mPort);
        mPort = mServer.getAddress().getPort();
        mServer.createContext("/hornbeamward/run-start", call -> Http.guard(call, this::runStart));
        mServer.createContext("/hornbeamward/run-stop", call -> Http.guard(call, this::runStop));
        mServer.createContext("/hornbeamward/hold", call -> Http.guard(call, this::hold));
        mServer.createContext("/hornbeamward/pace", call -> Http.guard(call, this::pace));
        mServer.start();
        mUp = true;
        mIncarnation++;
        mBorn = System.currentTimeMillis();
        mStartMillis = Clock.millis();
        mSequence = 0;
        mHighestToken = 0;
        mLeaseEnd = 0;
        mEndNumber = 0;
        mRunning.clear();
        mEnds.clear();
        mClosedAttempts.clear();
        int incarnation = mIncarnation;
        RunLog.line(mId, "started, born " + mBorn);
        Thread.ofVirtual().start(() -> beat(incarnation));
        Thread.ofVirtual().start(() -> work(incarnation));
    }

    /** Ends the incarnation without a word, as a crash of its process does. */
    void crash() {
        HttpServer server;
        synchronized (this) {
            mUp = false;
            server = mServer;
            for (Running running : mRunning.values()) {
                mHistory.add(history(running, "crash"));
                if (running.mGang != null) {
                    running.mGang.breakUp();
                }
            }
            mRunning.clear();
            notifyAll();
        }
        server.stop(0);
        RunLog.line(mId, "crashed");
    }

    /** Chooses the port of the minion before it starts. */
    synchronized void reserveAddress() throws IOException {
        try (java.net.ServerSocket socket =
                new java.net.ServerSocket(0, 1, java.net.InetAddress.getByName(mHost))) {
            socket.setReuseAddress(true);
            mPort = socket.getLocalPort();
        }
    }

    /** Registers under another address, such as that of a relay in front of it. */
    synchronized void setPublicAddress(String address) {
        mPublicAddress = address;
    }

    /** Decides whether the heartbeats of this machine reach the store. */
    synchronized void setHeard(boolean heard) {
        mHeard = heard;
    }

    synchronized int port() {
        return mPort;
    }

    synchronized int runningCount() {
        return mRunning.size();
    }

    /** Returns the ended and the present runs of a task. */
    synchronized List<Run> runs(String job) {
        List<Run> runs = new ArrayList<>(mHistory);
        for (Running running : mRunning.values()) {
            runs.add(history(running, "running"));
        }
        runs.removeIf(run -> !run.task().startsWith(job));
        return runs;
    }

    private Run history(Running running, String how) {
        return new Run(
                running.mTask,
                running.mAttempt,
                mId,
                mBorn,
                running.mFromMillis,
                Clock.millis(),
                how);
    }

    private long clock() {
        return Clock.millis() - mStartMillis;
    }

    private void beat(int incarnation) {
        while (true) {
            synchronized (this) {
                if (!mUp || mIncarnation != incarnation) {
                    return;
                }
                if (mHeard) {
                    register();
                }
            }
            Clock.sleep(mHeartbeatMillis);
        }
    }

    private void register() {
        ObjectNode entry = Http.object();
        entry.put("service", mService)
                .put("address", mPublicAddress == null ? mHost + ":" + mPort : mPublicAddress)
                .put("zone", mZone)
                .put("version", "v1")
                .put("slots", 8)
                .put("state", "ready")
                .put("warmup_left_ms", 0);
        entry.putObject("capacity").put("cpu", mCpu).put("mem_mb", 64000).put("gpu", 0);
        ArrayNode labels = entry.putArray("labels");
        mLabels.forEach(labels::add);
        entry.put("clock_ms", clock()).put("born", mBorn).put("sequence", mSequence++);
        try {
            mStore.put("keyed.servers", mId, Http.JSON.writeValueAsBytes(entry));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Ends runs whose work is done, that were stopped or whose lease has lapsed. */
    private void work(int incarnation) {
        while (true) {
            Clock.sleep(5);
            synchronized (this) {
                if (!mUp || mIncarnation != incarnation) {
                    return;
                }
                boolean lapsed = clock() > mLeaseEnd;
                for (Running running : List.copyOf(mRunning.values())) {
                    if (lapsed) {
                        end(running, "lapsed");
                    } else if (running.mGang != null) {
                        workInGang(running);
                    } else if (Clock.millis() - running.mFromMillis >= running.mWorkMillis) {
                        end(running, "done");
                    }
                }
            }
        }
    }

    private void workInGang(Running running) {
        Gang gang = running.mGang;
        if (gang.isBroken()) {
            end(running, "broken");
        } else if (gang.isWorking() && gang.progressMillis() >= running.mWorkMillis) {
            end(running, "done");
        } else if (gang.isWorking()) {
            running.mCheckpoint = gang.checkpoint(running.mSaveMillis, running.mCheckpoint);
        } else if (Clock.millis() - running.mFromMillis > GANG_TIMEOUT_MILLIS) {
            end(running, "alone");
        }
    }

    private void end(Running running, String how) {
        if (running.mGang != null && !how.equals("done")) {
            running.mGang.breakUp();
        }
        mRunning.remove(running.mTask);
        mClosedAttempts.merge(running.mTask, running.mAttempt, Math::max);
        mEnds.add(
                new End(++mEndNumber, running.mTask, running.mAttempt, how, running.mCheckpoint));
        mHistory.add(history(running, how));
        RunLog.line(mId, "end " + running.mTask + " attempt " + running.mAttempt + " " + how);
        notifyAll();
    }

    /** Answers calls for another incarnation or with a lower token; null if the call may pass. */
    private Integer refusal(HttpExchange call, JsonNode body, ObjectNode answer) {
        answer.put("clock_ms", clock());
        String expected = call.getRequestHeaders().getFirst("X-Expect-Instance");
        if (expected != null && !expected.equals(mId)) {
            return 421;
        }
        long token = body.path("fencing_token").asLong(0);
        if (token < mHighestToken) {
            answer.put("reason", "fence");
            return 409;
        }
        mHighestToken = token;
        return null;
    }

    private void takeLease(JsonNode body) {
        if (body.path("deadline_ms").isNumber()) {
            long deadline = Math.min(body.path("deadline_ms").asLong(), clock() + mHoldMaxMillis);
            mLeaseEnd = Math.max(mLeaseEnd, deadline);
        }
    }

    private void runStart(HttpExchange call) throws IOException {
        JsonNode body = Http.body(call);
        ObjectNode answer = Http.object();
        int status;
        synchronized (this) {
            Integer refusal = refusal(call, body, answer);
            status = refusal != null ? refusal : startRun(body, answer);
            RunLog.line(
                    mId,
                    "run-start "
                            + body.path("task").asText()
                            + " attempt "
                            + body.path("attempt").asInt()
                            + " token "
                            + body.path("fencing_token").asLong()
                            + " checkpoint '"
                            + body.path("checkpoint").asText("")
                            + "' -> "
                            + status
                            + " "
                            + answer.path("reason").asText(""));
        }
        Http.reply(call, status, answer);
    }

    private int startRun(JsonNode body, ObjectNode answer) {
        String task = body.path("task").asText();
        int attempt = body.path("attempt").asInt();
        Running present = mRunning.get(task);
        if (present != null && present.mAttempt == attempt) {
            return 200;
        }
        if (present != null || mClosedAttempts.getOrDefault(task, 0) >= attempt) {
            answer.put("reason", "old");
            takeLease(body);
            return 409;
        }
        if (body.path("deadline_ms").asLong() <= clock()) {
            answer.put("reason", "late");
            return 409;
        }
        takeLease(body);
        Running running = new Running();
        running.mTask = task;
        running.mAttempt = attempt;
        running.mFromMillis = Clock.millis();
        running.mWorkMillis = number(body, "work");
        running.mGangSize = (int) number(body, "gang");
        running.mSaveMillis = number(body, "save");
        running.mCheckpoint = body.path("checkpoint").asText("");
        if (running.mGangSize > 0) {
            running.mGang = Gang.join(running);
        }
        mRunning.put(task, running);
        return 200;
    }

    /** Returns a number in the specification; 0 if it has none of that name. */
    private static long number(JsonNode body, String name) {
        for (String word : body.path("spec").asText().split(" ")) {
            if (word.startsWith(name + "=")) {
                return Long.parseLong(word.substring(name.length() + 1));
            }
        }
        return 0;
    }

    private void runStop(HttpExchange call) throws IOException {
        JsonNode body = Http.body(call);
        ObjectNode answer = Http.object();
        int status;
        synchronized (this) {
            Integer refusal = refusal(call, body, answer);
            status = refusal != null ? refusal : 200;
            if (refusal == null) {
                String task = body.path("task").asText();
                int attempt = body.path("attempt").asInt();
                mClosedAttempts.merge(task, attempt, Math::max);
                Running running = mRunning.get(task);
                if (running != null && running.mAttempt == attempt && !running.mStopping) {
                    running.mStopping = true;
                    int incarnation = mIncarnation;
                    Thread.ofVirtual().start(() -> endStopped(running, incarnation));
                }
            }
            RunLog.line(
                    mId,
                    "run-stop "
                            + body.path("task").asText()
                            + " attempt "
                            + body.path("attempt").asInt()
                            + " token "
                            + body.path("fencing_token").asLong()
                            + " -> "
                            + status);
        }
        Http.reply(call, status, answer);
    }

    private void endStopped(Running running, int incarnation) {
        Clock.sleep(STOP_MILLIS);
        synchronized (this) {
            if (mIncarnation == incarnation && mRunning.get(running.mTask) == running) {
                end(running, "stopped");
            }
        }
    }

    private void hold(HttpExchange call) throws IOException {
        JsonNode body = Http.body(call);
        ObjectNode answer = Http.object();
        int status;
        synchronized (this) {
            int incarnation = mIncarnation;
            Integer refusal = refusal(call, body, answer);
            status = refusal != null ? refusal : 200;
            if (refusal == null) {
                takeLease(body);
                long acknowledged = body.path("ack_cursor").asLong();
                if (mEnds.removeIf(end -> end.number() <= acknowledged)) {
                    RunLog.line(mId, "ends up to " + acknowledged + " are taken note of");
                }
                long until = Clock.millis() + Math.min(2_000, body.path("wait_ms").asLong(0));
                while (mEnds.isEmpty() && mUp && mIncarnation == incarnation) {
                    long left = until - Clock.millis();
                    if (left <= 0) {
                        break;
                    }
                    try {
                        wait(left);
                    } catch (InterruptedException e) {
                        break;
                    }
                }
                if (!mUp || mIncarnation != incarnation) {
                    call.close();
                    return;
                }
                describeRuns(answer);
            }
        }
        Http.reply(call, status, answer);
    }

    private void describeRuns(ObjectNode answer) {
        answer.put("clock_ms", clock()).put("born", mBorn);
        ArrayNode running = answer.putArray("running");
        for (Running run : mRunning.values()) {
            long worked = Clock.millis() - run.mFromMillis;
            running.addArray()
                    .add(run.mTask)
                    .add(run.mAttempt)
                    .add(run.mCheckpoint)
                    .add(Math.min(100, 100 * worked / Math.max(1, run.mWorkMillis)))
                    .add(1000);
        }
        ArrayNode ended = answer.putArray("finished");
        for (End end : mEnds) {
            ended.addArray()
                    .add(end.number())
                    .add(end.task())
                    .add(end.attempt())
                    .add(end.how())
                    .add(end.checkpoint());
        }
    }

    private void pace(HttpExchange call) throws IOException {
        JsonNode body = Http.body(call);
        ObjectNode answer = Http.object();
        int status;
        synchronized (this) {
            Integer refusal = refusal(call, body, answer);
            status = refusal != null ? refusal : 200;
        }
        Http.reply(call, status, answer);
    }
}
