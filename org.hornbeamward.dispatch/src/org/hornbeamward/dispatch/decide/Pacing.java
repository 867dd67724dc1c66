package org.hornbeamward.dispatch.decide;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleBiFunction;

/**
 * Limits the speed of the fillers on a worker. Load pattern: the tail latency of serving tasks
 * varies with their own load over seconds, and some filler images raise its peaks above the target
 * while others have no effect; reports are imprecise and half a second old. Only the fillers that
 * interfere with a task without headroom are slowed down, those with the strongest interference
 * first.
 */
public final class Pacing {
    /**
     * Headroom, target over tail latency, to preserve. Covers the errors of a report and of the
     * forecast.
     */
    public static final double REQUIRED_HEADROOM = 1.2;

    /**
     * Headroom per core below which a filler is light and is not slowed down. Heavy fillers cost
     * five times as much or more, so stopping light ones loses more work than meeting the target is
     * worth.
     */
    private static final double LIGHT_COST_PER_CORE = 0.12;

    /**
     * Time that a target may be missed before all fillers are stopped; the platform's documentation
     * allows four seconds.
     */
    private static final long STOP_AFTER_MILLIS = 2_000;

    /** Largest increase of a pace per report. */
    private static final int MAX_RAISE_PERCENT = 60;

    private static final int MAX_PERCENT = 100;

    /** Smaller changes are ignored, so that noise in the reports causes no orders. */
    private static final int MIN_CHANGE_PERCENT = 20;

    private Pacing() {}

    /**
     * A serving task.
     *
     * @param image image that it runs
     * @param unloadedHeadroom target over the tail latency that it would have without fillers
     * @param missedMillis how long its target has been missed without interruption
     */
    public record Serving(String image, double unloadedHeadroom, long missedMillis) {}

    /**
     * A filler.
     *
     * @param image image that it runs
     * @param cores number of cores that it requests
     * @param percent its current pace
     */
    public record Filler(String image, double cores, int percent) {}

    /**
     * Returns the pace of every filler.
     *
     * @param serving the serving tasks of a worker
     * @param fillers fillers on the same worker
     * @param perCore headroom that one core of a filler image costs a serving image
     * @return a pace in percent, 0 to 100, for every filler
     */
    public static int[] percents(
            List<Serving> serving,
            List<Filler> fillers,
            ToDoubleBiFunction<String, String> perCore) {
        int[] percents = new int[fillers.size()];
        for (int index = 0; index < percents.length; index++) {
            percents[index] =
                    Math.min(MAX_PERCENT, fillers.get(index).percent() + MAX_RAISE_PERCENT);
        }
        for (Serving task : serving) {
            if (task.missedMillis() >= STOP_AFTER_MILLIS) {
                Arrays.fill(percents, 0);
                return percents;
            }
            limit(task, fillers, perCore, percents);
        }
        for (int index = 0; index < percents.length; index++) {
            percents[index] = ignoringSmallChange(fillers.get(index).percent(), percents[index]);
        }
        return percents;
    }

    private static int ignoringSmallChange(int currentPercent, int percent) {
        boolean extreme = percent == 0 || percent == MAX_PERCENT;
        boolean close = Math.abs(percent - currentPercent) < MIN_CHANGE_PERCENT;
        return close && !extreme ? currentPercent : percent;
    }

    /**
     * Lowers paces until a task has the required headroom, starting with the heavy fillers that
     * cost it the most headroom per core. Light fillers are not slowed down.
     */
    private static void limit(
            Serving task,
            List<Filler> fillers,
            ToDoubleBiFunction<String, String> perCore,
            int[] percents) {
        double[] costsPerCore = new double[percents.length];
        double deficit = REQUIRED_HEADROOM - task.unloadedHeadroom();
        List<Integer> order = new ArrayList<>();
        for (int index = 0; index < percents.length; index++) {
            Filler filler = fillers.get(index);
            costsPerCore[index] = perCore.applyAsDouble(task.image(), filler.image());
            deficit += costsPerCore[index] * filler.cores() * percents[index] / MAX_PERCENT;
            order.add(index);
        }
        order.sort(Comparator.comparingDouble(index -> -costsPerCore[index]));
        for (int index : order) {
            if (deficit <= 0 || costsPerCore[index] < LIGHT_COST_PER_CORE) {
                return;
            }
            double cost = costsPerCore[index] * fillers.get(index).cores();
            int reduction =
                    Math.min(percents[index], (int) Math.ceil(MAX_PERCENT * deficit / cost));
            percents[index] -= reduction;
            deficit -= cost * reduction / MAX_PERCENT;
        }
    }
}
