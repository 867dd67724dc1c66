import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A small deployment: two entry machines, some minions of one service and the store. */
final class Site {
    static final String HOST = "jobs.example";

    /** The two routes of the deployment. */
    static final String FIRST_ROUTE = "/lohu930/";

    static final String SECOND_ROUTE = "/pule252/";

    final Store mStore = new Store();
    final List<Entry> mEntries = new ArrayList<>();
    final List<Minion> mMinions = new ArrayList<>();
    final List<Minion.Run> mRuns = new ArrayList<>();
    private final Path mFolder;

    /** Starts the deployment and waits until it is ready; the traffic starts 15 s later at most. */
    Site(Path root, int minionCount, long cpu, long memory, Minion.Work work)
            throws IOException {
        mFolder = Files.createTempDirectory("hornbeamward-review");
        configure(7, true);
        for (int number = 1; number <= minionCount; number++) {
            mMinions.add(new Minion(mStore, number, cpu, memory, work, mRuns));
        }
        for (int number = 1; number <= 2; number++) {
            mEntries.add(new Entry(root, mFolder, number, mStore.address()));
        }
        for (Entry entry : mEntries) {
            entry.start();
        }
        long until = Log.millis() + 15_000;
        while (!isUp()) {
            if (Log.millis() > until) {
                throw new IOException("the deployment is not ready after 15 s");
            }
            Log.sleep(100);
        }
        Log.line("site", "ready; " + leader().mName + " leads");
    }

    private boolean isUp() {
        return mEntries.stream().allMatch(Entry::isReady) && leader() != null;
    }

    /** Returns the entry that leads; null if there is none at present. */
    Entry leader() {
        return mEntries.stream().filter(Entry::isLeading).findFirst().orElse(null);
    }

    Entry other(Entry entry) {
        return mEntries.get(mEntries.get(0) == entry ? 1 : 0);
    }

    /** The operator writes a configuration; the store's answer is the acknowledgement. */
    void configure(int version, boolean withSecondRoute) {
        String route =
                "{\"name\":\"%s\",\"host\":\"jobs.example\",\"prefix\":\"%s\",\"kind\":\"unsafe\","
                        + "\"timeout_ms\":3000,\"completion_target_ms\":250,\"priority\":0,"
                        + "\"service\":\"work-desk\",\"attempts\":3,\"slack_factor\":1.5}";
        String routes = String.format(route, "r-wrr6x73", FIRST_ROUTE);
        if (withSecondRoute) {
            routes += "," + String.format(route, "r-73hh2b9", SECOND_ROUTE);
        }
        mStore.put(
                "keyed.op",
                "config",
                "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[{\"name\":"
                        + "\"work-desk\",\"health_path\":\"/health\",\"max_conns\":64,"
                        + "\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":0.0,\"cold_per_s\":0.0,"
                        + "\"admission_check\":true,\"standby\":false}],\"limits\":{"
                        + "\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
                        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
        Log.line(
                "operator",
                "configuration " + version + " is acknowledged; routes " + FIRST_ROUTE
                        + (withSecondRoute ? " " + SECOND_ROUTE : ""));
    }

    /** Hands a job in; repeats it at the other machine unless it is answered with 200. */
    boolean submit(String route, String id, String body, Entry first) {
        Entry entry = first;
        for (int i = 0; i < 5; i++) {
            Web.Answer answer = Web.call("POST", entry.frontend(), HOST, route + id, body);
            Log.line("client", "POST " + route + id + " at " + entry.mName + ": " + answer);
            if (answer.status() == 200) {
                return true;
            }
            Log.sleep(500);
            entry = other(entry);
        }
        return false;
    }

    String state(String route, String id, Entry entry) {
        Web.Answer answer = Web.call("GET", entry.frontend(), HOST, route + id, "");
        Log.line("client", "GET " + route + id + " at " + entry.mName + ": " + answer);
        return answer.status() + " " + answer.body();
    }

    /** Returns the runs of tasks whose names begin with a text. */
    List<Minion.Run> runs(String prefix) {
        synchronized (mRuns) {
            return mRuns.stream().filter(run -> run.mTask.startsWith(prefix)).toList();
        }
    }

    /** Share of the service's processors that are in use. */
    double shareInUse(long cpuOfAll) {
        return mMinions.stream().mapToLong(Minion::cpuInUse).sum() / (double) cpuOfAll;
    }

    /** Copies what the processes have logged into the record, at most so many lines of each. */
    void logProcesses(String... texts) throws IOException {
        for (Entry entry : mEntries) {
            for (String text : texts) {
                List<String> lines = entry.logLines(text);
                lines.stream().limit(6).forEach(line -> Log.line(entry.mName + " log", line));
                if (lines.size() > 6) {
                    Log.line(entry.mName + " log", (lines.size() - 6) + " more lines: " + text);
                }
            }
        }
    }
}
