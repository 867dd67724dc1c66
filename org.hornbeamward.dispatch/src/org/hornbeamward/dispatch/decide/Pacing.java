package org.hornbeamward.dispatch.decide;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleBiFunction;

/**
 * How fast each filler of a worker may work. Load pattern: the tail latency of serving tasks swings
 * with their own load over seconds, and some filler images lift its peaks above the target while
 * others do no harm; reports are rough and half a second old. Only the fillers that press on a task
 * without headroom slow down, the strongest first.
 */
public final class Pacing {
    /** Headroom to keep: target over tail. Covers a report's error and that of the forecast. */
    public static final double KEPT_HEADROOM = 1.2;

    /**
     * Headroom a core up to which a filler is light and left alone: the heavy ones cost five times
     * as much and more, so stopping light ones costs more work than the target is worth.
     */
    private static final double LIGHT_PER_CORE = 0.12;

    /** Time that a target may be missed until all fillers stop; the page allows four seconds. */
    private static final long STOP_AFTER_MILLIS = 2_000;

    /** Largest rise of a pace at one report. */
    private static final int RAISE_PERCENT = 60;

    private static final int MAX_PERCENT = 100;

    /** Smaller changes are left out, so that noise alone causes no orders. */
    private static final int STEP_PERCENT = 20;

    private Pacing() {}

    /**
     * A serving task.
     *
     * @param image its image
     * @param unloadedHeadroom target over the tail latency that it would have without fillers
     * @param missedMillis how long its target has been missed without a break
     */
    public record Serving(String image, double unloadedHeadroom, long missedMillis) {}

    /**
     * A filler.
     *
     * @param image its image
     * @param cores its size
     * @param percent its present pace
     */
    public record Filler(String image, double cores, int percent) {}

    /**
     * Returns the paces.
     *
     * @param serving the serving tasks of a worker
     * @param fillers its fillers
     * @param perCore headroom that a core of a filler image costs a serving image
     * @return a pace for each filler, 0 to 100
     */
    public static int[] percents(
            List<Serving> serving,
            List<Filler> fillers,
            ToDoubleBiFunction<String, String> perCore) {
        int[] percents = new int[fillers.size()];
        for (int index = 0; index < percents.length; index++) {
            percents[index] = Math.min(MAX_PERCENT, fillers.get(index).percent() + RAISE_PERCENT);
        }
        for (Serving task : serving) {
            if (task.missedMillis() >= STOP_AFTER_MILLIS) {
                Arrays.fill(percents, 0);
                return percents;
            }
            limit(task, fillers, perCore, percents);
        }
        for (int index = 0; index < percents.length; index++) {
            percents[index] = settled(fillers.get(index).percent(), percents[index]);
        }
        return percents;
    }

    private static int settled(int currentPercent, int percent) {
        boolean extreme = percent == 0 || percent == MAX_PERCENT;
        boolean close = Math.abs(percent - currentPercent) < STEP_PERCENT;
        return close && !extreme ? currentPercent : percent;
    }

    /**
     * Lowers paces until a task keeps its headroom, the heavy fillers that press most for each core
     * first. Light ones are left alone.
     */
    private static void limit(
            Serving task,
            List<Filler> fillers,
            ToDoubleBiFunction<String, String> perCore,
            int[] percents) {
        double[] each = new double[percents.length];
        double excess = KEPT_HEADROOM - task.unloadedHeadroom();
        List<Integer> order = new ArrayList<>();
        for (int index = 0; index < percents.length; index++) {
            Filler filler = fillers.get(index);
            each[index] = perCore.applyAsDouble(task.image(), filler.image());
            excess += each[index] * filler.cores() * percents[index] / MAX_PERCENT;
            order.add(index);
        }
        order.sort(Comparator.comparingDouble(index -> -each[index]));
        for (int index : order) {
            if (excess <= 0 || each[index] < LIGHT_PER_CORE) {
                return;
            }
            double pressure = each[index] * fillers.get(index).cores();
            int cut = Math.min(percents[index], (int) Math.ceil(MAX_PERCENT * excess / pressure));
            percents[index] -= cut;
            excess -= pressure * cut / MAX_PERCENT;
        }
    }
}
