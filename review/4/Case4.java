import java.util.List;

/**
 * An idle minion is cut off from all entries for a time that is too short for its entry in the
 * store to expire. A job that only this minion can run is handed in meanwhile. After the cut has
 * healed, the job must run.
 */
final class Case4 {
    private static final long CUT_MILLIS = 2_500;
    private static final long FINISH_MILLIS = 14_000;
    private static final long WATCH_MILLIS = 30_000;

    private static final String JOB =
            "{\"spec\":\"work=1000\",\"phases\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":256,"
                    + "\"estimate_ms\":1000,\"required_label\":\"b\"}]}";

    public static void main(String[] arguments) {
        Site.main(arguments, 3, Case4::run);
    }

    private static boolean run(Site site) throws Exception {
        for (int i = 0; i < 6; i++) {
            site.addMinion(
                    "i-" + i,
                    "kgl-" + i % 3,
                    List.of(i == 5 ? "b" : "a", "r1-" + i % 2),
                    16_000);
        }
        Minion only = site.mMinions.get(5);
        only.reserveAddress();
        Relay relay = new Relay("127.0.0.1", only.port());
        only.setPublicAddress(relay.address());
        site.start();
        Entry entry = site.mEntries.get(0);
        if (Site.TROUBLE) {
            only.setHeard(false);
            relay.cut();
            RunLog.line("case", only.mId + " is cut off");
        }
        Clock.sleep(300);
        String job = site.newJob();
        if (!entry.call("POST", Site.PREFIX + job, JOB).startsWith("200")) {
            throw new IllegalStateException("the job was not accepted");
        }
        Clock.sleep(CUT_MILLIS - 300);
        if (Site.TROUBLE) {
            relay.heal();
            only.setHeard(true);
            RunLog.line("case", only.mId + " is reached again");
        }
        long healedMillis = Clock.millis();
        Clock.sleep(FINISH_MILLIS);
        while (Clock.millis() < healedMillis + WATCH_MILLIS) {
            if (entry.call("GET", Site.PREFIX + job, "").contains("completed")) {
                RunLog.line("judge", "the job has run: " + site.runs(job));
                return true;
            }
            Clock.sleep(1_000);
        }
        RunLog.line(
                "judge",
                "LOST: "
                        + (Clock.millis() - healedMillis)
                        + " ms after the cut the job has nothing running; its runs: "
                        + site.runs(job));
        return false;
    }
}
