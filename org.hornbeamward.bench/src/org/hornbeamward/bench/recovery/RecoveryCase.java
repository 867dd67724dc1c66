package org.hornbeamward.bench.recovery;

import java.util.SortedMap;
import java.util.TreeMap;
import org.hornbeamward.bench.BenchCase;
import org.hornbeamward.bench.fake.Deployment;

/**
 * Measures the recovery of 9 members, 30 workers and their tasks from failures. The targets were
 * set before measuring; all times are virtual:
 *
 * <ul>
 *   <li>death of a member (the decider; a supervisor) to the next placement on a worker that it
 *       supervised: under 6,000 ms (3 s suspicion, 0.5 s heartbeat, a log round trip and one ticket
 *       round);
 *   <li>death of a worker to the start of its tasks elsewhere: under 25,000 ms (lease of 15 s plus
 *       2%, and the time to detect the silence);
 *   <li>death of a worker together with its supervisor to the start of its tasks elsewhere: under
 *       30,000 ms (3.5 s until the removal, 4 s and a lease of 15 s plus 2%, since the removed
 *       member may have granted a lease until then);
 *   <li>tasks lost for good: 0; tasks resumed twice: 0;
 *   <li>all members killed at once and restarted 1 s later, until all are active and a task starts:
 *       under 10,000 ms from the restart with the log up; under 18,000 ms from the return of the
 *       log when it is down for 60 s first (in addition, a backoff of at most 8 s between
 *       attempts);
 *   <li>running tasks that survive a log outage of 60 s and of 600 s: all;
 *   <li>log use: at most 600 bytes and 4 records per task start, including the submission, the
 *       start and the end;
 *   <li>first placement after a log outage: under 18,000 ms from the return of the log;
 *   <li>bootstrap from a snapshot: the bytes grow at most linearly with the number of tasks.
 * </ul>
 */
public final class RecoveryCase implements BenchCase {
    /** Creates the case. */
    public RecoveryCase() {}

    @Override
    public String name() {
        return "recovery";
    }

    @Override
    public SortedMap<String, Double> run(String deployment, long seed) {
        SortedMap<String, Double> figures = new TreeMap<>();
        Deployment size = Deployment.named(deployment);
        new MemberDeath(size, seed, figures).run();
        new WorkerDeath(size, seed, figures).run();
        new TotalRestart(size, seed, figures).run();
        new LogOutage(size, seed, figures).run();
        new BootstrapCost(size, seed, figures).run();
        return figures;
    }
}
