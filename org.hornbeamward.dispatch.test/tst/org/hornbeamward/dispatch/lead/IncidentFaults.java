package org.hornbeamward.dispatch.lead;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.hornbeamward.dispatch.lead.RandomFaults.Event;
import org.hornbeamward.dispatch.lead.RandomFaults.Kind;

/**
 * Schedules like the incident of issue 51: a full pool, workers that restart at one moment, changes
 * of leaders within 20 s of it, mostly by resignation and back to a process that has led before,
 * and workers that some or all leaders reach late or not at all around these changes.
 */
final class IncidentFaults {
    private static final int MIN_WORKER_COUNT = 4;

    /** Time after the restarts within which leaders change. */
    private static final int CHANGE_MILLIS = 20_000;

    private static final List<Kind> CHANGES =
            List.of(
                    Kind.HAND_OVER,
                    Kind.HAND_OVER,
                    Kind.HAND_OVER,
                    Kind.HAND_OVER,
                    Kind.HAND_OVER,
                    Kind.LEADER_RESIGNED,
                    Kind.LEADER_KILLED,
                    Kind.LEADER_PAUSED_AND_REPLACED,
                    Kind.LEADER_CUT_AND_REPLACED);

    private static final List<Kind> PATH_FAULTS =
            List.of(
                    Kind.HELD,
                    Kind.HELD,
                    Kind.CUT,
                    Kind.HELD_FROM_LEADER,
                    Kind.HELD_FROM_LEADER,
                    Kind.CUT_FROM_LEADER,
                    Kind.CUT_FROM_LEADER,
                    Kind.ANSWERS_LOST,
                    Kind.JITTER,
                    Kind.REFUSED);

    private static final List<Kind> OTHER_FAULTS =
            List.of(
                    Kind.RESTART,
                    Kind.RESTART,
                    Kind.DOWN,
                    Kind.LEADER_PAUSED,
                    Kind.STORE_SLOW,
                    Kind.STORE_REFUSED,
                    Kind.STORE_UNANSWERED,
                    Kind.OLD_LISTS,
                    Kind.UNHEALTHY,
                    Kind.ENTRY_REMOVED,
                    Kind.OTHER_WORKER);

    private IncidentFaults() {}

    /** Returns the number of workers for the schedule of a seed. */
    static int workerCount(long seed) {
        return MIN_WORKER_COUNT + (int) Math.floorMod(seed, 3L);
    }

    /** Returns the schedule of a seed. */
    static List<Event> schedule(long seed) {
        Random random = new Random(seed * 43 + 19);
        List<Event> events = new ArrayList<>();
        int workerCount = workerCount(seed);
        for (int count = random.nextInt(workerCount); count > 0; count--) {
            events.add(
                    new Event(random.nextInt(1_000), Kind.SUBMIT_LASTING, random.nextInt(20), 0));
        }
        int restartMillis = 3_000 + random.nextInt(4_000);
        int lengthMillis = 4_000 + random.nextInt(CHANGE_MILLIS - 4_000);
        // From workers that are idle at times to a pool in which short tasks wait.
        int cores = 1 + random.nextInt(6 * workerCount);
        events.add(
                new Event(
                        random.nextInt(2_000),
                        Kind.SHORT_JOBS,
                        cores,
                        restartMillis + lengthMillis - 2_000));
        List<Integer> momentsMillis = new ArrayList<>();
        for (int count = 1 + random.nextInt(2); count > 0; count--) {
            addRestarts(events, random, restartMillis);
            momentsMillis.add(restartMillis);
            restartMillis += 1_000 + random.nextInt(8_000);
        }
        int firstMillis = momentsMillis.get(0);
        int number = random.nextInt(RandomFaults.PROCESS_COUNT);
        int changeMillis =
                switch (random.nextInt(3)) {
                    // So that the second one, after the restarts, leads back to the first process.
                    case 0 -> Math.max(500, firstMillis - random.nextInt(4_000));
                    case 1 -> firstMillis + random.nextInt(4_000);
                    default -> firstMillis + random.nextInt(lengthMillis);
                };
        for (int count = 1 + random.nextInt(3); count > 0; count--) {
            Kind change = CHANGES.get(random.nextInt(CHANGES.size()));
            events.add(new Event(changeMillis, change, number, electionMillis(change, random)));
            momentsMillis.add(changeMillis);
            if (change == Kind.HAND_OVER && random.nextInt(3) == 0) {
                addUnreached(events, random, workerCount, changeMillis, number);
            }
            // Two processes lead by turns.
            number = number == 0 ? 1 : 0;
            changeMillis += random.nextBoolean() ? random.nextInt(3_000) : random.nextInt(12_000);
        }
        for (int count = 1 + random.nextInt(6); count > 0; count--) {
            int momentMillis = momentsMillis.get(random.nextInt(momentsMillis.size()));
            addPathFaults(events, random, workerCount, momentMillis);
        }
        for (int count = random.nextInt(3); count > 0; count--) {
            int momentMillis = momentsMillis.get(random.nextInt(momentsMillis.size()));
            Kind kind = OTHER_FAULTS.get(random.nextInt(OTHER_FAULTS.size()));
            int atMillis = Math.max(0, momentMillis - 2_000 + random.nextInt(4_000));
            events.add(
                    new Event(atMillis, kind, random.nextInt(workerCount), random.nextInt(3_000)));
        }
        events.sort(Comparator.comparingLong(Event::atMillis));
        return events;
    }

    private static void addRestarts(List<Event> events, Random random, int atMillis) {
        boolean reborn = random.nextInt(3) == 0;
        int target = random.nextInt(3) == 0 ? 1 : 0;
        long millis =
                reborn
                        ? 500 + random.nextInt(8_000)
                        : random.nextInt(RandomFaults.ENTRY_DELAY_MILLIS);
        events.add(
                new Event(atMillis, reborn ? Kind.REBORN_ALL : Kind.RESTART_ALL, target, millis));
    }

    private static int electionMillis(Kind change, Random random) {
        return switch (change) {
            case HAND_OVER, LEADER_RESIGNED -> random.nextInt(600);
            case LEADER_KILLED -> 800 + random.nextInt(700);
            default -> 500 + random.nextInt(4_500);
        };
    }

    /** Adds that a process does not reach some workers for longer than their leases last. */
    private static void addUnreached(
            List<Event> events, Random random, int workerCount, int changeMillis, int process) {
        Kind kind = random.nextInt(3) == 0 ? Kind.HELD_FROM_LEADER : Kind.CUT_FROM_LEADER;
        int first = random.nextInt(workerCount);
        long millis = 6_000 + random.nextInt(9_000);
        for (int number = random.nextInt(workerCount - 1); number >= 0; number--) {
            int target = RandomFaults.linkTarget((first + number) % workerCount, process);
            events.add(new Event(changeMillis, kind, target, millis));
        }
    }

    /** Adds a fault of the paths to up to three workers around a moment. */
    private static void addPathFaults(
            List<Event> events, Random random, int workerCount, int momentMillis) {
        Kind kind = PATH_FAULTS.get(random.nextInt(PATH_FAULTS.size()));
        int atMillis = Math.max(0, momentMillis - 2_500 + random.nextInt(4_000));
        long millis = random.nextBoolean() ? random.nextInt(3_000) : random.nextInt(15_000);
        int process = random.nextInt(RandomFaults.PROCESS_COUNT);
        int first = random.nextInt(workerCount);
        for (int number = random.nextInt(3); number >= 0; number--) {
            int worker = (first + number) % workerCount;
            int target =
                    kind == Kind.HELD_FROM_LEADER || kind == Kind.CUT_FROM_LEADER
                            ? RandomFaults.linkTarget(worker, process)
                            : worker;
            events.add(new Event(atMillis, kind, target, millis));
        }
    }

    /** Returns a schedule in which workers are isolated soon after they restart together. */
    static List<Event> isolateWorkers(long seed, List<Event> schedule) {
        Random random = new Random(seed * 47 + 23);
        List<Event> events = new ArrayList<>(schedule);
        for (Event event : schedule) {
            if (event.kind() == Kind.RESTART_ALL || event.kind() == Kind.HAND_OVER) {
                // Starts that the restarted workers may take before the leader knows of it.
                for (int count = 1 + random.nextInt(3); count > 0; count--) {
                    long submitMillis = event.atMillis() + random.nextInt(2_500);
                    events.add(new Event(submitMillis, Kind.SUBMIT, random.nextInt(12), 0));
                }
                long atMillis = event.atMillis() + random.nextInt(2_500);
                long millis = 4_000 + random.nextInt(11_000);
                int first = random.nextInt(MIN_WORKER_COUNT);
                for (int number = random.nextInt(3); number >= 0; number--) {
                    int worker = (first + number) % MIN_WORKER_COUNT;
                    events.add(new Event(atMillis, Kind.ISOLATED, worker, millis));
                }
            }
        }
        events.sort(Comparator.comparingLong(Event::atMillis));
        return events;
    }

    /** Returns a schedule in which cuts hold calls and answers instead of dropping them. */
    static List<Event> holdCalls(List<Event> schedule) {
        return schedule.stream()
                .map(
                        event ->
                                event.kind() == Kind.CUT
                                        ? new Event(
                                                event.atMillis(),
                                                Kind.HELD,
                                                event.target(),
                                                event.millis())
                                        : event)
                .toList();
    }
}
