package org.hornbeamward.quickstart;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Checks the ten rules on the events of the stand-ins and on the responses to callers. */
final class Rules {
    private static final long DOMAIN_OUT_GRACE_MILLIS = 3_000;
    private static final long LEAVING_GRACE_NANOS = 3_000_000_000L;
    private static final long MAX_CONFIG_DELAY_MILLIS = 6_000;

    private final Rule mCapacity = new Rule("capacity", "no worker is committed beyond its size");
    private final Rule mOnePlace = new Rule("onePlace", "no task runs in two places at once");
    private final Rule mResume = new Rule("resumeOnce", "evicted work resumes exactly once");
    private final Rule mDomain = new Rule("domainOut", "no task starts in a domain taken out");
    private final Rule mAnswer = new Rule("ownAnswer", "callers receive their own whole answer");
    private final Rule mNotRun = new Rule("notRun", "a refusal that says not run is true");
    private final Rule mOnce = new Rule("atMostOnce", "a non-idempotent request runs at most once");
    private final Rule mLeaving = new Rule("leaving", "a leaving endpoint gets no new work");
    private final Rule mStop = new Rule("gracefulStop", "a planned stop cuts off no request");
    private final Rule mConfig = new Rule("configuration", "configuration is in force and stays");

    List<Rule> all() {
        return List.of(
                mCapacity, mOnePlace, mResume, mDomain, mAnswer, mNotRun, mOnce, mLeaving, mStop,
                mConfig);
    }

    void checkWorkers(JsonNode events, Deployment deployment, Timeline timeline) {
        long cpu = deployment.firstWorkerGroup().path("cpuCount").asLong() * 1_000;
        long memory = deployment.firstWorkerGroup().path("memoryGib").asLong() * 1_024;
        Map<String, JsonNode> running = new HashMap<>();
        Map<String, Long> evicted = new HashMap<>();
        for (JsonNode event : events) {
            String kind = event.path("kind").asText();
            if (kind.equals("started") || kind.equals("resumed")) {
                mCapacity.check(
                        event.path("committedCpuMillicores").asLong() <= cpu
                                && event.path("committedMemoryMib").asLong() <= memory,
                        event.toString());
                checkStart(event, running, evicted);
                checkDomain(event, deployment, timeline);
            } else if (kind.equals("ended")) {
                checkEnd(event, running, evicted);
            } else if (kind.equals("restarted")) {
                // The stand-in ends all tasks of the previous incarnation without an event for
                // each.
                String worker = event.path("worker").asText();
                running.values().removeIf(start -> start.path("worker").asText().equals(worker));
            }
        }
        evicted.forEach((task, checkpoint) -> mResume.countCheck());
    }

    private void checkStart(
            JsonNode event, Map<String, JsonNode> running, Map<String, Long> evicted) {
        String task = event.path("task").asText();
        JsonNode other = running.put(task, event);
        mOnePlace.check(other == null, "started again: " + event + " while " + other);
        Long checkpoint = evicted.remove(task);
        if (checkpoint != null) {
            mResume.check(
                    event.path("checkpoint").asLong() >= checkpoint,
                    "resumed from an older checkpoint than " + checkpoint + ": " + event);
        }
    }

    private void checkEnd(
            JsonNode event, Map<String, JsonNode> running, Map<String, Long> evicted) {
        String task = event.path("task").asText();
        JsonNode started = running.get(task);
        if (started != null
                && started.path("token").asLong() == event.path("token").asLong()
                && started.path("worker").asText().equals(event.path("worker").asText())) {
            running.remove(task);
        }
        if (event.path("detail").asText().toUpperCase(java.util.Locale.ROOT).contains("STOPPED")) {
            evicted.put(task, event.path("checkpoint").asLong());
        }
    }

    private void checkDomain(JsonNode event, Deployment deployment, Timeline timeline) {
        long wallMillis = event.path("wallMillis").asLong();
        boolean domainIsOut =
                wallMillis > timeline.mDomainOutWallMillis + DOMAIN_OUT_GRACE_MILLIS
                        && wallMillis < timeline.mDomainBackWallMillis;
        if (timeline.mDomainOutWallMillis == 0 || !domainIsOut) {
            return;
        }
        List<String> domains = deployment.failureDomains();
        int index = Integer.parseInt(event.path("worker").asText().replaceAll("[^0-9]", "")) - 1;
        boolean inDomain = domains.get(index % domains.size()).equals(timeline.mTakenOutDomain);
        mDomain.check(!inDomain, "started in " + timeline.mTakenOutDomain + ": " + event);
    }

    void checkRequests(JsonNode endpointEvents, List<Attempt> attempts, Timeline timeline) {
        Map<String, Integer> effects = countEffects(endpointEvents);
        Map<String, List<Attempt>> byId = new TreeMap<>();
        attempts.forEach(
                attempt ->
                        byId.computeIfAbsent(attempt.id(), id -> new ArrayList<>()).add(attempt));
        for (Map.Entry<String, List<Attempt>> entry : byId.entrySet()) {
            checkRequest(entry.getValue(), effects.getOrDefault(entry.getKey(), 0));
        }
        checkLeaving(endpointEvents, timeline);
        timeline.mStops.forEach(stop -> checkStop(stop, attempts));
    }

    private static Map<String, Integer> countEffects(JsonNode endpointEvents) {
        Map<String, Integer> effects = new HashMap<>();
        for (JsonNode events : endpointEvents) {
            for (JsonNode event : events) {
                String outcome = event.path("outcome").asText();
                if (!outcome.equals("refused") && !outcome.equals("failed")) {
                    String path = event.path("path").asText();
                    effects.merge(path.substring(path.lastIndexOf('/') + 1), 1, Integer::sum);
                }
            }
        }
        return effects;
    }

    private void checkRequest(List<Attempt> attempts, int effectCount) {
        Attempt first = attempts.get(0);
        if (!first.idempotent()) {
            mOnce.check(effectCount <= 1, first.id() + " ran " + effectCount + " times");
        }
        boolean allNotRun = attempts.stream().allMatch(Attempt::notRun);
        if (allNotRun) {
            mNotRun.check(effectCount == 0, first.id() + " was said not to have run");
        }
        for (Attempt attempt : attempts) {
            if (attempt.answered() && attempt.status() < 300) {
                boolean own = attempt.body().contains("/item/" + attempt.id() + "\"");
                boolean whole = attempt.body().startsWith("{") && attempt.body().endsWith("}");
                mAnswer.check(own && whole, attempt.id() + " received " + attempt.body());
            }
        }
    }

    private void checkLeaving(JsonNode endpointEvents, Timeline timeline) {
        Iterator<Map.Entry<String, JsonNode>> endpoints = endpointEvents.fields();
        while (endpoints.hasNext()) {
            Map.Entry<String, JsonNode> endpoint = endpoints.next();
            boolean leaving = endpoint.getKey().equals(timeline.mLeavingEndpoint);
            for (JsonNode event : endpoint.getValue()) {
                if (event.path("startNanos").asLong()
                        > timeline.mLeavingNanos + LEAVING_GRACE_NANOS) {
                    mLeaving.check(!leaving, "request at " + endpoint.getKey() + ": " + event);
                }
            }
        }
    }

    private void checkStop(Timeline.PlannedStop stop, List<Attempt> attempts) {
        mStop.check(stop.ended(), stop.instance() + " did not end by itself");
        for (Attempt attempt : attempts) {
            boolean inFlight =
                    attempt.entry().equals(stop.instance())
                            && attempt.endedNanos() > stop.startedNanos();
            if (inFlight) {
                mStop.check(attempt.status() != 0, "cut off: " + attempt);
            }
        }
    }

    void checkConfig(Timeline timeline) {
        for (Timeline.ConfigCheck check : timeline.mConfigChecks) {
            mConfig.check(
                    check.tookMillis() <= MAX_CONFIG_DELAY_MILLIS
                            && check.version() >= check.expectedVersion(),
                    check.toString());
        }
        timeline.mRaceResults.forEach(
                hadOneWinner ->
                        mConfig.check(hadOneWinner, "not exactly one of two racing operators won"));
    }

    /** Returns the number of distinct requests that took effect. */
    static int effectCount(JsonNode endpointEvents) {
        Set<String> ids = new HashSet<>(countEffects(endpointEvents).keySet());
        return ids.size();
    }
}
