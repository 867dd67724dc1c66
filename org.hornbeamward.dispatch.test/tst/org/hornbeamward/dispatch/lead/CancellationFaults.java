package org.hornbeamward.dispatch.lead;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Function;
import org.hornbeamward.dispatch.lead.RandomFaults.Event;
import org.hornbeamward.dispatch.lead.RandomFaults.Kind;
import org.hornbeamward.dispatch.lead.RandomFaults.Variant;

/**
 * Schedules in which jobs that last are submitted early and cancelled late: some seconds after all
 * faults, in the middle of a change of leaders, or beside the faults.
 */
final class CancellationFaults {
    private static final int FIRST_FAULT_MILLIS = 2_000;

    /** Time after the end of a fault from which a cancellation has to be carried out in time. */
    private static final int CALM_MILLIS = 5_000;

    private static final List<Kind> WORKER_FAULTS =
            List.of(
                    Kind.MUTE,
                    Kind.MUTE,
                    Kind.MUTE,
                    Kind.SHED,
                    Kind.SHED,
                    Kind.RESET,
                    Kind.RESET,
                    Kind.OLD_LISTS,
                    Kind.OLD_LISTS,
                    Kind.ORDERS_HANG,
                    Kind.HANG,
                    Kind.CUT,
                    Kind.ANSWERS_LOST,
                    Kind.JITTER,
                    Kind.REFUSED,
                    Kind.UNHEALTHY,
                    Kind.LATE_CALLS,
                    Kind.RESTART,
                    Kind.RESTART,
                    Kind.DOWN,
                    Kind.OTHER_WORKER,
                    Kind.FLAP,
                    Kind.STARTS_HANG,
                    Kind.STARTS_REFUSED,
                    Kind.LEASE_DROPPED,
                    Kind.ENTRY_REMOVED);

    private static final List<Kind> STORE_FAULTS =
            List.of(
                    Kind.STORE_SLOW,
                    Kind.STORE_UNANSWERED,
                    Kind.STORE_LATE,
                    Kind.STORE_REFUSED,
                    Kind.STORE_DOWN);

    private static final List<Kind> CHANGES_OF_LEADERS =
            List.of(
                    Kind.LEADER_KILLED,
                    Kind.LEADER_RESIGNED,
                    Kind.LEADER_RESIGNED,
                    Kind.LEADER_PAUSED,
                    Kind.LEADER_PAUSED_AND_REPLACED,
                    Kind.LEADER_CUT_AND_REPLACED);

    private CancellationFaults() {}

    /** Returns the schedule of a seed. */
    static List<Event> schedule(long seed) {
        Random random = new Random(seed * 41 + 17);
        List<Event> events = new ArrayList<>();
        int jobCount = 2 + random.nextInt(4);
        for (int number = 0; number < jobCount; number++) {
            int atMillis = random.nextInt(1_000);
            events.add(new Event(atMillis, Kind.SUBMIT_LONG_RUNNING, random.nextInt(12), 0));
        }
        int lengthMillis = 2_000 + random.nextInt(16_000);
        for (int count = random.nextInt(4); count > 0; count--) {
            int atMillis = 1_000 + random.nextInt(lengthMillis);
            events.add(new Event(atMillis, Kind.SUBMIT, random.nextInt(12), 0));
        }
        for (int count = 1 + random.nextInt(4); count > 0; count--) {
            addFaults(events, random, FIRST_FAULT_MILLIS + random.nextInt(lengthMillis));
        }
        for (int count = random.nextInt(3); count > 0; count--) {
            int atMillis = FIRST_FAULT_MILLIS + random.nextInt(lengthMillis);
            addChangeOfLeaders(events, random, atMillis);
        }
        if (random.nextInt(4) == 0) {
            Kind kind = STORE_FAULTS.get(random.nextInt(STORE_FAULTS.size()));
            int atMillis = FIRST_FAULT_MILLIS + random.nextInt(lengthMillis);
            events.add(new Event(atMillis, kind, 0, 500 + random.nextInt(4_500)));
        }
        addCancellations(events, random, jobCount, lengthMillis);
        events.sort(Comparator.comparingLong(Event::atMillis));
        return events;
    }

    /** Adds faults within two seconds, often the same one at several workers. */
    private static void addFaults(List<Event> events, Random random, int atMillis) {
        Kind kind = WORKER_FAULTS.get(random.nextInt(WORKER_FAULTS.size()));
        // Of those that disrupt for the longest time there are few.
        long millis = kind == Kind.LATE_CALLS ? random.nextInt(2_000) : faultMillis(random);
        int first = random.nextInt(RandomFaults.WORKER_COUNT);
        int share = random.nextInt(3) * RandomFaults.WORKER_COUNT;
        for (int number = random.nextInt(RandomFaults.WORKER_COUNT); number >= 0; number--) {
            int target = share + (first + number) % RandomFaults.WORKER_COUNT;
            events.add(new Event(atMillis + random.nextInt(2_000), kind, target, millis));
            if (random.nextInt(3) == 0) {
                kind = WORKER_FAULTS.get(random.nextInt(WORKER_FAULTS.size()));
                millis = kind == Kind.LATE_CALLS ? random.nextInt(2_000) : faultMillis(random);
            }
        }
        if (random.nextInt(3) == 0) {
            addChangeOfLeaders(events, random, atMillis - 1_000 + random.nextInt(4_000));
        }
    }

    private static long faultMillis(Random random) {
        return random.nextBoolean() ? random.nextInt(2_000) : 1_000 + random.nextInt(8_000);
    }

    private static void addChangeOfLeaders(List<Event> events, Random random, int atMillis) {
        Kind change = CHANGES_OF_LEADERS.get(random.nextInt(CHANGES_OF_LEADERS.size()));
        int millis =
                switch (change) {
                    case LEADER_KILLED -> 800 + random.nextInt(700);
                    case LEADER_RESIGNED -> random.nextInt(600);
                    default -> 500 + random.nextInt(4_500);
                };
        events.add(new Event(atMillis, change, 0, millis));
    }

    private static void addCancellations(
            List<Event> events, Random random, int jobCount, int lengthMillis) {
        long faultsEndMillis =
                events.stream().mapToLong(e -> e.atMillis() + e.millis()).max().orElse(0);
        int first = random.nextInt(jobCount);
        for (int number = random.nextInt(jobCount); number >= 0; number--) {
            int job = (first + number) % jobCount;
            long atMillis =
                    switch (random.nextInt(4)) {
                        case 0, 1 -> faultsEndMillis + CALM_MILLIS + random.nextInt(4_000);
                        case 2 -> {
                            int changeMillis =
                                    random.nextBoolean()
                                            ? FIRST_FAULT_MILLIS + random.nextInt(lengthMillis)
                                            : (int) faultsEndMillis + random.nextInt(8_000);
                            addChangeOfLeaders(events, random, changeMillis);
                            yield changeMillis - 500 + random.nextInt(3_500);
                        }
                        default -> FIRST_FAULT_MILLIS + random.nextInt(lengthMillis + 6_000);
                    };
            events.add(new Event(atMillis, Kind.CANCEL, job, 0));
        }
    }

    /**
     * Runs a range of seeds and prints the broken rules: {@code FIRST COUNT [connections] [stops]
     * [hides] [orders] [unregistered] [cursor] [shrink]}. With {@code connections}, calls that have
     * timed out keep their connections; with {@code stops}, first stops are lost.
     */
    public static void main(String[] arguments) {
        long first = Long.parseLong(arguments[0]);
        long count = Long.parseLong(arguments[1]);
        List<String> options = List.of(arguments);
        Variant variant =
                new Variant(
                        options.contains("hides"),
                        options.contains("orders"),
                        options.contains("unregistered"),
                        options.contains("cursor"),
                        options.contains("connections"),
                        options.contains("stops"));
        Map<RunHistory.Rule, Integer> counts = new EnumMap<>(RunHistory.Rule.class);
        int brokenCount = 0;
        for (long seed = first; seed < first + count; seed++) {
            long playedSeed = seed;
            Function<List<Event>, List<RunHistory.Violation>> play =
                    events -> RandomFaults.run(playedSeed, events, variant);
            List<Event> schedule = schedule(seed);
            List<RunHistory.Violation> violations = play.apply(schedule);
            if (violations.isEmpty()) {
                continue;
            }
            brokenCount++;
            RunHistory.Rule rule = violations.get(0).rule();
            counts.merge(rule, 1, Integer::sum);
            System.out.println("seed " + seed + ": " + violations.get(0));
            if (options.contains("shrink")) {
                List<Event> rest = RandomFaults.shrink(schedule, play, rule);
                rest.forEach(event -> System.out.println("    " + event));
                System.out.println("    " + play.apply(rest));
            }
        }
        System.out.println(brokenCount + " of " + count + " seeds broke a rule: " + counts);
    }
}
