package org.hornbeamward.dispatch.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hornbeamward.codec.Writer;
import org.hornbeamward.dispatch.job.JobPhase;
import org.hornbeamward.dispatch.job.JobSpec;
import org.hornbeamward.dispatch.job.StepSpec;
import org.hornbeamward.dispatch.job.Submission;
import org.hornbeamward.dispatch.port.KeyedRecord;
import org.hornbeamward.dispatch.port.Store;
import org.hornbeamward.event.LogEvent;
import org.hornbeamward.lib.JobId;
import org.junit.jupiter.api.Test;

/** Records of the progress of jobs with many tasks and long checkpoints. */
class ProgressRecordsTest {
    private static final JobId JOB = new JobId("5c0e7a21d94b36f8");

    /** Largest record of the platform's store, which holds the length of the key too. */
    private static final int MAX_RECORD_BYTES = 262_144;

    /** Longest id of a worker. */
    private static final String LONG_ID = "w".repeat(64);

    private final LeaderFixture mFixture = new LeaderFixture();
    private final WorkerSession mWorker;
    private final ProgressRecords mRecords = new ProgressRecords();

    /** The newest record of every key, as the store holds them. */
    private Map<String, byte[]> mStored = new TreeMap<>();

    ProgressRecordsTest() {
        mWorker =
                new WorkerSession(
                        mFixture.mLoop,
                        mFixture.mWorkers,
                        mFixture.startDispatcher(1),
                        mFixture.mWorkers.add(LONG_ID, 1_000).entry());
    }

    private static Job job(StepSpec... steps) {
        JobSpec spec = new JobSpec("", List.of(steps), 0, 0, 0);
        return new Job(new Submission(JOB, "queue", 1, spec), null);
    }

    private static Map<String, byte[]> apply(Map<String, byte[]> stored, List<KeyedRecord> batch) {
        Map<String, byte[]> result = new TreeMap<>(stored);
        for (KeyedRecord record : batch) {
            assertTrue(1 + record.byteCount() <= MAX_RECORD_BYTES, record.key());
            if (record.value() == null) {
                result.remove(record.key());
            } else {
                result.put(record.key(), record.value());
            }
        }
        return result;
    }

    /** Commits the progress of a job; returns what the store holds after each of the calls. */
    private List<Map<String, byte[]>> commit(Job job, long nowMillis) {
        List<Map<String, byte[]>> states = new ArrayList<>();
        states.add(mStored);
        for (List<KeyedRecord> batch :
                Store.splitForAppend(mRecords.encode(List.of(job), nowMillis))) {
            mStored = apply(mStored, batch);
            states.add(mStored);
        }
        return states;
    }

    private static Job restored(Map<String, byte[]> stored, StepSpec... steps) {
        Job job = job(steps);
        ProgressRecords records = new ProgressRecords();
        byte[] value = records.load(stored).get(JOB.value());
        if (value != null) {
            records.restore(job, value);
        }
        return job;
    }

    private void run(Task task) {
        task.lastAttempt++;
        task.run = new Run(task, task.lastAttempt, mWorker, "");
    }

    private static void end(Task task, String checkpoint) {
        task.run = null;
        task.checkpoint.offer(checkpoint, task.lastAttempt, Checkpoint.END_PERCENT);
    }

    private static String checkpoint(char letter, int length) {
        return String.valueOf(letter).repeat(length);
    }

    private static List<Integer> attempts(Job job) {
        List<Integer> attempts = new ArrayList<>();
        for (Task task : job.steps(0)[0].tasks) {
            attempts.add(task.done ? Integer.valueOf(-1) : Integer.valueOf(task.lastAttempt));
        }
        return attempts;
    }

    /** Guards against a job whose progress no record takes although none of its tasks is long. */
    @Test
    void theProgressOfTheLargestJobOnWorkersWithLongIdsIsStoredInOneCall() {
        StepSpec step = LeaderFixture.step(JobSpec.MAX_TASK_COUNT, 1_000);
        Job job = job(step);
        for (Task task : job.steps(0)[0].tasks) {
            task.failureCount = Integer.MAX_VALUE;
            task.lastAttempt = Integer.MAX_VALUE - 1;
            task.checkpoint.restore(checkpoint('\u20ac', Checkpoint.MAX_SHORT_CHARS));
            run(task);
        }
        List<Map<String, byte[]>> states = commit(job, 0);

        assertEquals(2, states.size());
        assertTrue(mStored.size() > 1);
        Job restored = restored(mStored, step);
        assertEquals(attempts(job), attempts(restored));
        assertEquals(
                checkpoint('\u20ac', Checkpoint.MAX_SHORT_CHARS),
                restored.steps(0)[0].tasks[JobSpec.MAX_TASK_COUNT - 1].checkpoint.value());
    }

    /**
     * Guards against a leader that dies between two calls of a commit, and leaves progress of two
     * times, or a task without a checkpoint.
     */
    @Test
    void afterEveryCallOfACommitTheStoreHoldsTheProgressOfOneTimeAndAValidCheckpoint() {
        StepSpec step = LeaderFixture.step(JobSpec.MAX_TASK_COUNT, 1_000);
        Job job = job(step);
        Task[] tasks = job.steps(0)[0].tasks;
        int[][] lengths = {
            {3, 1_000, 2_000, 700_000, 300_000, 40_000},
            {2_000, 10, 300_000, 5, 600_000, 40},
            {1_000, 600_000, 700_000, 900_000, 20, 50_000},
            {20, 30, 10, 300_000, 100, 900_000},
        };
        List<Integer> before = attempts(job);
        Map<Integer, String> checkpointsBefore = new LinkedHashMap<>();
        for (int round = 0; round < lengths.length; round++) {
            char letter = (char) ('a' + round);
            Map<Integer, String> checkpoints = new LinkedHashMap<>();
            for (int index = 0; index < tasks.length; index++) {
                Task task = tasks[index];
                // The progress itself takes several records in the first rounds.
                if (index >= lengths[round].length) {
                    if (round == 0) {
                        run(task);
                    } else if (round == 3) {
                        end(task, "");
                    }
                } else {
                    task.lastAttempt++;
                    end(task, checkpoint(letter, lengths[round][index]));
                    checkpoints.put(index, task.checkpoint.value());
                }
            }
            List<Map<String, byte[]>> states = commit(job, round);
            assertTrue(states.size() > 2);
            for (Map<String, byte[]> state : states) {
                Job restored = restored(state, step);
                List<Integer> attempts = attempts(restored);
                assertTrue(attempts.equals(before) || attempts.equals(attempts(job)));
                for (int index : checkpointsBefore.keySet()) {
                    String value = restored.steps(0)[0].tasks[index].checkpoint.value();
                    assertTrue(
                            value.equals(checkpoints.get(index))
                                    || value.equals(checkpointsBefore.get(index)),
                            "round " + round + " task " + index + " has " + value.length());
                }
            }
            before = attempts(job);
            checkpointsBefore = checkpoints;
        }
        Job restored = restored(mStored, step);
        checkpointsBefore.forEach(
                (index, value) ->
                        assertEquals(value, restored.steps(0)[0].tasks[index].checkpoint.value()));
    }

    /** Guards against records of checkpoints that stay although their tasks are done. */
    @Test
    void checkpointsAreRemovedWithTheirTasksAndJobs() {
        Job job = job(LeaderFixture.step(3, 1_000));
        Task[] tasks = job.steps(0)[0].tasks;
        for (Task task : tasks) {
            task.lastAttempt++;
            end(task, checkpoint('a', 300_000));
        }
        commit(job, 0);
        assertEquals(1 + 3 * 2, mStored.size());

        job.steps(0)[0].markDone(tasks[0]);
        end(tasks[1], checkpoint('b', 10));
        commit(job, 0);
        assertEquals(1 + 2, mStored.size());

        ProgressRecords successor = new ProgressRecords();
        successor.load(mStored);
        assertEquals(List.of(JOB), successor.finishLoading(id -> true));
        assertTrue(apply(mStored, successor.remove(JOB)).isEmpty());

        job.phase = JobPhase.FAILED;
        commit(job, 0);
        assertEquals(1, mStored.size());
    }

    /** Guards against a later job under the same id that resumes from a foreign checkpoint. */
    @Test
    void aJobThatIsSubmittedAgainTakesOverNoCheckpoint() {
        StepSpec step = LeaderFixture.step(1, 1_000);
        Job ended = job(step);
        ended.steps(0)[0].tasks[0].lastAttempt++;
        end(ended.steps(0)[0].tasks[0], checkpoint('a', 1_000));
        commit(ended, 0);

        Job later = job(step);
        run(later.steps(0)[0].tasks[0]);
        commit(later, 0);

        assertEquals(1, mStored.size());
        assertTrue(restored(mStored, step).steps(0)[0].tasks[0].checkpoint.isEmpty());
    }

    /** Guards against a leader that cannot read what earlier builds have stored. */
    @Test
    void aLongCheckpointThatAnEarlierBuildStoredWithTheProgressIsReadAndKept() {
        StepSpec step = LeaderFixture.step(1, 1_000);
        Writer writer = new Writer().array(3).integer(1).integer(1).array(1);
        writer.array(7).integer(0).integer(0).integer(0).bool(false).integer(1).integer(2);
        mStored.put(JOB.value(), writer.text(checkpoint('a', 2_000)).toBytes());

        Job job = job(step);
        mRecords.load(mStored).forEach((key, value) -> mRecords.restore(job, value));
        assertEquals(checkpoint('a', 2_000), job.steps(0)[0].tasks[0].checkpoint.value());
        commit(job, 0);

        assertEquals(2, mStored.size());
        Task task = restored(mStored, step).steps(0)[0].tasks[0];
        assertEquals(checkpoint('a', 2_000), task.checkpoint.value());
        assertEquals(2, task.lastAttempt);
        assertEquals(1, task.failureCount);
    }

    /** Guards against a gang whose members store, or resume from, checkpoints of their own. */
    @Test
    void theMembersOfAGangShareOneStoredCheckpoint() {
        StepSpec gang = LeaderFixture.gang(40, 1_000);
        Job job = job(gang);
        for (Task task : job.steps(0)[0].tasks) {
            run(task);
        }
        job.steps(0)[0].tasks[7].checkpoint.offer(checkpoint('a', 1_000), 1, 30);
        commit(job, 0);
        assertEquals(2, mStored.size());
        for (Task task : restored(mStored, gang).steps(0)[0].tasks) {
            assertEquals(checkpoint('a', 1_000), task.checkpoint.value());
        }
    }

    /**
     * Guards against commits that grow with the checkpoints of all runs at work, which their
     * workers have, and against one that only the leader knows and that waits.
     */
    @Test
    void aCommitWritesSomeCheckpointsOfRunsAtWorkAndAllOthers() {
        Job job = job(LeaderFixture.step(1_000, 1_000));
        Task[] tasks = job.steps(0)[0].tasks;
        for (int index = 0; index < tasks.length; index++) {
            run(tasks[index]);
            tasks[index].checkpoint.offer(checkpoint('a', 2_000), 1, 50);
        }
        for (int index = 900; index < tasks.length; index++) {
            end(tasks[index], checkpoint('b', 2_000));
            if (index % 2 == 0) {
                run(tasks[index]);
            }
        }
        commit(job, 0);
        assertTrue(mStored.size() > 100 + 100 && mStored.size() < 100 + 200, "" + mStored.size());
        for (int index = 900; index < tasks.length; index++) {
            assertTrue(tasks[index].checkpoint.isStored());
        }

        for (int commit = 0; commit < 10; commit++) {
            commit(job, commit);
        }
        assertEquals(1 + tasks.length, mStored.size());
        tasks[0].checkpoint.offer(checkpoint('c', 2_000), 1, 60);
        commit(job, 1_000);
        assertFalse(tasks[0].checkpoint.isStored());
        commit(job, 20_000);
        assertTrue(tasks[0].checkpoint.isStored());
    }

    /** Guards against a checkpoint that no call of the store takes and that stops every commit. */
    @Test
    void aCheckpointThatNoCallTakesIsLeftOutAndTheEarlierOneIsKept() {
        StepSpec step = LeaderFixture.step(1, 1_000);
        Job job = job(step);
        Task task = job.steps(0)[0].tasks[0];
        task.lastAttempt++;
        end(task, checkpoint('a', 500_000));
        commit(job, 0);
        task.lastAttempt++;
        end(task, checkpoint('b', 1_100_000));
        try (CapturedLog log = new CapturedLog()) {
            commit(job, 1);
            commit(job, 2);
            assertEquals(1, log.lines(LogEvent.CHECKPOINT_TOO_LONG).size());
        }
        Task restored = restored(mStored, step).steps(0)[0].tasks[0];
        assertEquals(2, restored.lastAttempt);
        assertEquals(checkpoint('a', 500_000), restored.checkpoint.value());
    }
}
