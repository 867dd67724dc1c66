package org.hornbeamward.bench.recovery;

import java.util.HashMap;
import java.util.Map;
import org.hornbeamward.codec.BatchCodec;
import org.hornbeamward.command.CommandBatch;
import org.hornbeamward.command.PlaceTask;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.CommandResult;

/** Replays a log from its first record. */
final class LogReplay {
    private LogReplay() {}

    static CommandBatch batch(VirtualLog log, long offset) {
        return BatchCodec.decode("control@" + offset, log.record(offset)).get();
    }

    /** Returns the creation time of the next batch with a placement by any other member. */
    static long nextPlacementMillis(VirtualLog log, InstanceId except, long sinceMillis) {
        for (int offset = 0; offset < log.size(); offset++) {
            CommandBatch batch = batch(log, offset);
            if (batch.authorWallMillis() > sinceMillis
                    && !batch.author().equals(except)
                    && batch.commands().stream().anyMatch(PlaceTask.class::isInstance)) {
                return batch.authorWallMillis();
            }
        }
        return Long.MAX_VALUE;
    }

    /** Returns the recorded checkpoint of the task at each accepted placement, by token. */
    static Map<Long, Long> checkpointsAtPlacement(VirtualLog log) {
        Map<Long, Long> checkpoints = new HashMap<>();
        ClusterState state = new ClusterState();
        for (int offset = 0; offset < log.size(); offset++) {
            for (CommandResult result : state.apply(offset, batch(log, offset))) {
                if (result.accepted() && result.command() instanceof PlaceTask place) {
                    state.work()
                            .task(place.task())
                            .ifPresent(t -> checkpoints.put(result.token(), t.checkpoint()));
                }
            }
        }
        return checkpoints;
    }
}
