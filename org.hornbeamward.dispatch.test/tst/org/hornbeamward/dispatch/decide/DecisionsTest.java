package org.hornbeamward.dispatch.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.hornbeamward.dispatch.decide.JobOrder.ImageGroup;
import org.hornbeamward.dispatch.decide.JobOrder.SortKey;
import org.junit.jupiter.api.Test;

/** Tests of the job order and of the pacing of fillers with recorded load patterns. */
class DecisionsTest {
    private static final long NOW = 1_000_000;

    private static SortKey sortKey(
            int priority,
            long releaseWallMillis,
            long objectiveMillis,
            long remainingMillis,
            boolean longRunning,
            long sequence) {
        return new SortKey(
                priority,
                releaseWallMillis,
                objectiveMillis,
                remainingMillis,
                longRunning,
                false,
                false,
                sequence,
                ImageGroup.NONE);
    }

    private static SortKey interrupted(long releaseWallMillis, long sequence) {
        return new SortKey(
                0, releaseWallMillis, 2_900, 320, true, true, false, sequence, ImageGroup.NONE);
    }

    private static List<Long> order(SortKey... keys) {
        List<SortKey> sorted = new ArrayList<>(List.of(keys));
        sorted.sort(JobOrder.at(NOW));
        return sorted.stream().map(SortKey::sequence).toList();
    }

    /** Guards against short jobs that wait behind a burst of large ones. */
    @Test
    void aShortJobGoesBeforeABurstOfLargeOnes() {
        SortKey large = sortKey(2, NOW - 500, 5_400, 2_200, false, 1);
        SortKey larger = sortKey(2, NOW - 400, 9_000, 4_000, false, 2);
        SortKey quick = sortKey(0, NOW, 1_750, 1_000, false, 3);
        assertEquals(List.of(3L, 1L, 2L), order(large, larger, quick));
    }

    /** Guards against jobs that are worth nothing any more and make others late. */
    @Test
    void lateJobsWaitBehindThoseThatCanBeInTimeAndWorthlessOnesComeLast() {
        SortKey worthless = sortKey(0, NOW - 20_000, 1_750, 1_000, false, 1);
        SortKey late = sortKey(0, NOW - 2_000, 1_750, 1_000, false, 2);
        SortKey inTime = sortKey(2, NOW, 5_400, 2_200, false, 3);
        assertEquals(List.of(3L, 2L, 1L), order(worthless, late, inTime));
    }

    private static SortKey beyondShare(long releaseWallMillis, boolean longRunning, long sequence) {
        return new SortKey(
                0,
                releaseWallMillis,
                1_750,
                1_000,
                longRunning,
                false,
                true,
                sequence,
                ImageGroup.NONE);
    }

    /** Load pattern: one account sends many times its usual, and the others wait behind it. */
    @Test
    void jobsBeyondTheShareOfAnAccountGoBehindAllThatAreWorthSomething() {
        SortKey inTimeBeyond = beyondShare(NOW, false, 1);
        SortKey lateBeyond = beyondShare(NOW - 2_000, false, 2);
        SortKey longRunningBeyond = beyondShare(NOW, true, 3);
        SortKey worthlessBeyond = beyondShare(NOW - 20_000, false, 4);
        SortKey late = sortKey(2, NOW - 2_000, 1_750, 1_000, false, 5);
        SortKey longRunning = sortKey(0, NOW, 2_900, 320, true, 6);
        List<Long> order =
                order(
                        inTimeBeyond,
                        lateBeyond,
                        longRunningBeyond,
                        worthlessBeyond,
                        late,
                        longRunning);
        assertEquals(List.of(6L, 5L), order.subList(0, 2));
        assertEquals(4L, order.get(5));
    }

    /** Guards against long-running tasks that take the capacity that a short job has waited for. */
    @Test
    void aShortJobGoesBeforeALongRunningOne() {
        SortKey longRunning = sortKey(0, NOW - 3_000, 2_900, 320, true, 1);
        SortKey quick = sortKey(0, NOW, 1_750, 1_000, false, 2);
        SortKey late = sortKey(0, NOW - 2_000, 1_750, 1_000, false, 3);
        assertEquals(List.of(2L, 1L, 3L), order(longRunning, quick, late));
    }

    /** Guards against lost long-running tasks that stay away while short jobs keep coming. */
    @Test
    void aLongRunningTaskThatWasInterruptedGoesBeforeShortJobs() {
        SortKey quick = sortKey(0, NOW, 1_750, 1_000, false, 1);
        SortKey longRunning = sortKey(0, NOW - 60_000, 2_900, 320, true, 2);
        SortKey interrupted = interrupted(NOW - 3_000, 3);
        assertEquals(List.of(3L, 1L, 2L), order(quick, longRunning, interrupted));
    }

    private static SortKey serving(long sequence, String image, long millicores, boolean spread) {
        ImageGroup imageGroup = new ImageGroup(image, millicores, spread);
        return new SortKey(
                0, NOW - sequence % 2, 2_900, 320, true, false, false, sequence, imageGroup);
    }

    /**
     * Guards against images that are mixed on all workers when long-running jobs of several images
     * are submitted together: on imbaraga-loans quiet-1 the worth of a day varied between 0.59 and
     * 0.75 with the order of their arrival.
     */
    @Test
    void longRunningJobsSubmittedTogetherArePlacedImageByImage() {
        assertEquals(
                List.of(5L, 1L, 3L, 2L, 4L),
                order(
                        serving(1, "large", 40_000, false),
                        serving(2, "small", 20_000, false),
                        serving(3, "large", 40_000, false),
                        serving(4, "small", 20_000, false),
                        serving(5, "large", 40_000, true)));
    }

    private static int[] percents(double unloaded, long missedMillis, Pacing.Filler... fillers) {
        Map<String, Double> perCore = Map.of("heavy", 0.25, "light", 0.02);
        return Pacing.percents(
                List.of(new Pacing.Serving("serving", unloaded, missedMillis)),
                List.of(fillers),
                (serving, filler) -> perCore.getOrDefault(filler, 0.08));
    }

    private static Pacing.Filler filler(String image) {
        return new Pacing.Filler(image, 3.5, 100);
    }

    /**
     * Guards against slowing down fillers without influence on a serving task instead of those that
     * interfere with it.
     */
    @Test
    void onlyTheFillerThatInterferesSlowsDown() {
        double unloaded = 1.45;
        int[] percents = percents(unloaded, 0, filler("light"), filler("heavy"));
        assertEquals(100, percents[0]);
        double headroom = unloaded - 3.5 * (0.02 + 0.25 * percents[1] / 100);
        assertTrue(headroom >= 1.0, "the target is still missed with heavy at " + percents[1]);
    }

    /**
     * Guards against stopping all fillers of a worker for one serving task at its load peak: in a
     * trial on confirma-ro quiet-1 batch jobs earned 0.07 of what they could.
     */
    @Test
    void manyLightFillersDoNotStopForOneServingTask() {
        Pacing.Filler[] lightFillers = new Pacing.Filler[10];
        Arrays.fill(lightFillers, filler("light"));
        for (int percent : percents(1.2, 0, lightFillers)) {
            assertEquals(100, percent);
        }
    }

    /** Guards against a target that stays missed for longer than the users accept. */
    @Test
    void allFillersStopWhenATargetStaysMissed() {
        int[] percents = percents(0.9, 2_100, filler("light"), filler("heavy"));
        assertEquals(0, percents[0]);
        assertEquals(0, percents[1]);
    }

    /** Guards against fillers that stay slow for more than a second although there is room. */
    @Test
    void aSlowFillerIsAtFullSpeedAfterTwoReportsWithHeadroom() {
        int first = percents(4.0, 0, new Pacing.Filler("heavy", 3.5, 0))[0];
        assertTrue(first < 100, "one report alone restores the full pace");
        assertEquals(100, percents(4.0, 0, new Pacing.Filler("heavy", 3.5, first))[0]);
    }
}
