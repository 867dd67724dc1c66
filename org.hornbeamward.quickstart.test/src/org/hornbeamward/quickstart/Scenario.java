package org.hornbeamward.quickstart;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.concurrent.CompletableFuture;

/**
 * The scenario of the quickstart: load, a failure domain that is taken out and brought back, a kill
 * of an entry instance, a log outage and planned stops.
 */
final class Scenario {
    private static final int BATCH_JOB_COUNT = 20;
    private static final int TASKS_PER_JOB = 12;
    private static final long BATCH_RUN_MILLIS = 6_000;
    private static final long MAX_WAIT_MILLIS = 30_000;
    private static final long POLL_MILLIS = 100;

    private final Path mFolder;
    private final Deployment mDeployment;
    private final long mSeed;
    private final Http mHttp;
    private final Platform mPlatform;
    private final Callers mCallers;
    private final Timeline mTimeline = new Timeline();
    private final List<Entry> mEntries = new ArrayList<>();
    private final List<Entry> mStartedEntries = new ArrayList<>();
    private final Operator mOperator = new Operator(mEntries);

    Scenario(Path folder, Deployment deployment, long seed, Http http) {
        mFolder = folder;
        mDeployment = deployment;
        mSeed = seed;
        mHttp = http;
        mPlatform = new Platform(http);
        mCallers = new Callers(http, deployment.services(), seed);
    }

    Timeline timeline() {
        return mTimeline;
    }

    Platform platform() {
        return mPlatform;
    }

    Callers callers() {
        return mCallers;
    }

    void run() throws IOException, InterruptedException {
        startAll();
        publish("first", config());
        for (Entry entry : mEntries) {
            waitUntilReady(entry);
        }
        submitJobs();
        waitForWorkers();
        measureControlLoad(mEntries.get(0));
        printStep("sending requests");
        mPlatform.endpointFaults("{\"lateFraction\":0.02,\"lateMillis\":300}");
        mCallers.start();
        Thread.sleep(6_000);
        takeDomainOut();
        markEndpointLeaving();
        Thread.sleep(4_000);
        // The decider must have tasks to place while the failure domain is out.
        submit("late", BATCH_JOB_COUNT / 2);
        Thread.sleep(6_000);
        bringDomainBack();
        Thread.sleep(2_000);
        killAndReplaceEntry();
        Thread.sleep(6_000);
        interruptLog();
        mPlatform.endpointFaults("{\"closeFraction\":0.02}");
        dropLogResponses();
        Thread.sleep(4_000);
        republish();
        mPlatform.workerFaults("{\"worker\":\"w3\",\"restart\":true}");
        Thread.sleep(4_000);
        mPlatform.endpointFaults("{}");
        recordUsage(mEntries.get(0));
        stopGracefully(mEntries.get(0));
        mCallers.finish();
        for (Entry entry : List.copyOf(mEntries)) {
            stopGracefully(entry);
        }
    }

    private void measureControlLoad(Entry entry) throws InterruptedException {
        printStep("measuring the control work of " + entry.instance() + " for 10 s");
        Thread.sleep(2_000);
        double beforeSeconds = entry.process().cpuSeconds();
        Thread.sleep(8_000);
        double usedSeconds = entry.process().cpuSeconds() - beforeSeconds;
        mTimeline.mEntryControlCpuPercent = usedSeconds / 8.0 * 100.0;
    }

    private void recordUsage(Entry entry) throws IOException, InterruptedException {
        mTimeline.mLogReadBytes = mHttp.metric(entry.adminUrl(), "hornbeamward_log_read_bytes");
        mTimeline.mLogReadRecords = mHttp.metric(entry.adminUrl(), "hornbeamward_log_read_records");
        mTimeline.mEntryResidentMib = entry.process().residentMib();
        mTimeline.mEntryCpuSeconds = entry.process().cpuSeconds();
        mTimeline.mEntryRunSeconds = (System.nanoTime() - entry.startedNanos()) / 1e9;
    }

    private void printStep(String step) {
        System.out.printf("%tT  %s%n", System.currentTimeMillis(), step);
    }

    private void startAll() throws IOException, InterruptedException {
        printStep("starting the stand-ins");
        mPlatform.start(mFolder, mDeployment, mSeed);
        mPlatform.publishList();
        printStep("starting three entry instances");
        List<String> domains = mDeployment.failureDomains();
        for (int index = 0; index < 3; index++) {
            startEntry("entry-" + (index + 1), domains.get(index % domains.size()));
        }
    }

    private void startEntry(String instance, String failureDomain)
            throws IOException, InterruptedException {
        Entry entry =
                Entry.start(mFolder, mPlatform, instance, failureDomain, mDeployment.region());
        mStartedEntries.add(entry);
        mPlatform.putEntry(instance, entry.requestPort(), failureDomain);
        mPlatform.publishList();
        waitUntil(
                instance + " is a member",
                () ->
                        mHttp.get(entry.adminUrl() + "/v1/members")
                                .findValuesAsText("instance")
                                .contains(instance));
        mEntries.add(entry);
    }

    /** An instance is ready when it holds a slot, which requires a configuration with endpoints. */
    private void waitUntilReady(Entry entry) throws IOException, InterruptedException {
        waitUntil(
                entry.instance() + " is ready",
                () -> mHttp.status(entry.adminUrl() + "/ready") == 200);
        mCallers.add(entry);
    }

    private ObjectNode config() {
        ObjectNode document = Http.JSON.createObjectNode();
        SortedMap<String, JsonNode> entries = mDeployment.config();
        entries.forEach(
                (key, value) -> {
                    JsonNode entry = value.deepCopy();
                    if (key.startsWith("endpoint/")) {
                        int port = mPlatform.endpointPort(key.substring("endpoint/".length()));
                        ((ObjectNode) entry).put("address", "127.0.0.1:" + port);
                    }
                    document.set(key, entry);
                });
        return document;
    }

    private void publish(String name, ObjectNode document)
            throws IOException, InterruptedException {
        Path file = mFolder.resolve("config-" + name + ".json");
        Files.writeString(file, document.toPrettyString());
        long startedNanos = System.nanoTime();
        expect(mOperator.run("config", "publish", file.toString()), 0);
        long expected =
                mHttp.get(mEntries.get(0).adminUrl() + "/v1/config").path("version").asLong();
        printStep("configuration version " + expected + " was accepted");
        for (Entry entry : mEntries) {
            waitUntil("the configuration is in force", () -> version(entry) >= expected);
            long tookMillis = (System.nanoTime() - startedNanos) / 1_000_000;
            mTimeline.mConfigChecks.add(
                    new Timeline.ConfigCheck(
                            entry.instance(), tookMillis, version(entry), expected));
        }
    }

    private long version(Entry entry) throws IOException, InterruptedException {
        return mHttp.get(entry.adminUrl() + "/v1/config").path("version").asLong();
    }

    private void submitJobs() throws IOException {
        ObjectNode document = Http.JSON.createObjectNode();
        document.putArray("jobs").addAll((ArrayNode) mDeployment.jobs());
        submit("generated", document);
        submit("early", BATCH_JOB_COUNT);
    }

    private void submit(String name, int jobCount) throws IOException {
        ObjectNode document = Http.JSON.createObjectNode();
        ArrayNode jobs = document.putArray("jobs");
        for (int job = 0; job < jobCount; job++) {
            ObjectNode spec = jobs.addObject();
            spec.put("id", name + "-" + job).put("team", mDeployment.batchTeam());
            spec.put("className", "quick").put("kind", "BATCH");
            spec.put("taskCount", TASKS_PER_JOB);
            ObjectNode size = spec.putObject("resources");
            size.put("cpuMillicores", 1_000).put("memoryMib", 1_024).put("acceleratorCount", 0);
            spec.put("urgent", job % 5 == 0).put("checkpointable", true);
            spec.put("expectedRunMillis", BATCH_RUN_MILLIS).put("agreedPeriodMillis", 0);
        }
        submit(name, document);
    }

    private void submit(String name, ObjectNode document) throws IOException {
        Path file = mFolder.resolve("jobs-" + name + ".json");
        Files.writeString(file, document.toPrettyString());
        expect(mOperator.run("job", "submit", file.toString()), 0);
        printStep("jobs are submitted: " + name);
    }

    private void waitForWorkers() throws IOException, InterruptedException {
        waitUntil(
                "all workers are registered",
                () ->
                        mHttp.get(mEntries.get(0).adminUrl() + "/v1/workers").size()
                                >= mDeployment.workerCount());
    }

    private void takeDomainOut() throws InterruptedException {
        mTimeline.mTakenOutDomain = mDeployment.failureDomains().get(1);
        String[] verb = {
            "domain",
            "out",
            mTimeline.mTakenOutDomain,
            "--notice-seconds",
            "3",
            "--base-version",
            "0"
        };
        CompletableFuture<Operator.Result> racing =
                CompletableFuture.supplyAsync(() -> Operator.runAt(List.of(mEntries.get(1)), verb));
        Operator.Result own = Operator.runAt(List.of(mEntries.get(2)), verb);
        Operator.Result other = racing.join();
        mTimeline.mDomainOutWallMillis = System.currentTimeMillis();
        mTimeline.mRaceResults.add(own.exitCode() == 0 ^ other.exitCode() == 0);
        printStep(
                "failure domain "
                        + mTimeline.mTakenOutDomain
                        + " is out; two operators raced with exit codes "
                        + own.exitCode()
                        + " and "
                        + other.exitCode());
    }

    private void markEndpointLeaving() throws IOException, InterruptedException {
        mTimeline.mLeavingEndpoint = mDeployment.endpoints().get(0);
        mPlatform.setLeaving(mTimeline.mLeavingEndpoint);
        mPlatform.publishList();
        mTimeline.mLeavingNanos = System.nanoTime();
        printStep("endpoint " + mTimeline.mLeavingEndpoint + " is leaving");
    }

    private void bringDomainBack() {
        mTimeline.mDomainBackWallMillis = System.currentTimeMillis();
        expect(mOperator.run("domain", "back", mTimeline.mTakenOutDomain), 0);
        printStep("failure domain " + mTimeline.mTakenOutDomain + " is back");
    }

    private void killAndReplaceEntry() throws IOException, InterruptedException {
        // With fewer records retained, the new instance can start only from a snapshot.
        mPlatform.logFaults("{\"retainCount\":200}");
        Entry killed = mEntries.get(1);
        killed.process().kill();
        mCallers.remove(killed);
        mEntries.remove(killed);
        mPlatform.remove(killed.instance());
        printStep(killed.instance() + " was killed");
        startEntry("entry-4", killed.failureDomain());
        waitUntilReady(mEntries.get(mEntries.size() - 1));
        printStep("entry-4 is ready");
    }

    private void interruptLog() throws IOException, InterruptedException {
        printStep("the log is down for 10 s");
        mPlatform.logFaults("{\"down\":true}");
        Thread.sleep(10_000);
        mPlatform.logFaults("{\"down\":false,\"loseNextAnswers\":5}");
        printStep("the log is up and loses five answers");
    }

    private void dropLogResponses() throws IOException, InterruptedException {
        printStep("the proxy before the log discards answers for 2 s, then cuts all connections");
        mPlatform.proxyFaults("{\"dropAnswers\":true}");
        Thread.sleep(2_000);
        mPlatform.proxyFaults("{\"dropAnswers\":false,\"cut\":true}");
    }

    private void republish() throws IOException, InterruptedException {
        ObjectNode document = config();
        ObjectNode team = (ObjectNode) document.path("team/" + mDeployment.batchTeam());
        team.put("weight", team.path("weight").asDouble() + 1.0);
        publish("second", document);
    }

    private void stopGracefully(Entry entry) throws InterruptedException {
        long startedNanos = System.nanoTime();
        entry.process().terminate();
        // A load balancer detects within one poll interval that the instance is not ready.
        Thread.sleep(200);
        mCallers.remove(entry);
        boolean ended = entry.process().awaitEnd(MAX_WAIT_MILLIS);
        mTimeline.mStops.add(new Timeline.PlannedStop(entry.instance(), startedNanos, ended));
        mEntries.remove(entry);
        printStep(entry.instance() + (ended ? " has stopped" : " did not stop in time"));
    }

    private static void expect(Operator.Result result, int exitCode) {
        if (result.exitCode() != exitCode) {
            throw new IllegalStateException(
                    "exit code " + result.exitCode() + ": " + result.output());
        }
    }

    private interface Condition {
        boolean holds() throws IOException, InterruptedException;
    }

    private static void waitUntil(String what, Condition condition)
            throws IOException, InterruptedException {
        long startedNanos = System.nanoTime();
        while (!condition.holds()) {
            if ((System.nanoTime() - startedNanos) / 1_000_000 > MAX_WAIT_MILLIS) {
                throw new IllegalStateException("waited in vain until " + what);
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    void close() throws InterruptedException {
        mCallers.close();
        mStartedEntries.forEach(entry -> entry.process().kill());
        mPlatform.stop();
    }
}
