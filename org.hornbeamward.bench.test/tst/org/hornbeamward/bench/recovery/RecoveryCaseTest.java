package org.hornbeamward.bench.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.SortedMap;
import java.util.TreeMap;
import org.hornbeamward.bench.fake.Deployment;
import org.junit.jupiter.api.Test;

/** Guards against figures that differ between runs of one seed, and against lost tasks. */
class RecoveryCaseTest {
    private static SortedMap<String, Double> run() {
        SortedMap<String, Double> figures = new TreeMap<>();
        new WorkerDeath(Deployment.CONFIRMARE, 5, figures).run();
        return figures;
    }

    @Test
    void sameSeedGivesTheSameFiguresAndNoTaskIsLostOrRunsTwice() {
        SortedMap<String, Double> figures = run();
        assertEquals(figures, run());
        assertEquals(
                figures.get("workerDeath.evictedTaskCount"),
                figures.get("workerDeath.resumedTaskCount"));
        for (String count : new String[] {"lostTask", "resumedTwice", "resumedAgain"}) {
            assertEquals(0, figures.get("workerDeath." + count + "Count"), count);
        }
    }
}
