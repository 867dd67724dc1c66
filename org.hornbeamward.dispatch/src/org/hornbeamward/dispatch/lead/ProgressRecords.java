package org.hornbeamward.dispatch.lead;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.hornbeamward.codec.Reader;
import org.hornbeamward.codec.Writer;
import org.hornbeamward.dispatch.port.KeyedRecord;
import org.hornbeamward.dispatch.port.ValueParts;
import org.hornbeamward.event.LogEvent;
import org.hornbeamward.lib.JobId;

/**
 * The records of the progress topic that hold the progress of jobs. A job's progress is one value
 * under its id ({@link ProgressCodec}). A checkpoint that is too long for it has a value of its
 * own, which is written only when the checkpoint has changed. Every checkpoint of a task is one to
 * resume from, so a commit of which only the first calls have taken effect does no harm: new
 * checkpoints come before the progress, and those that it makes needless are removed after it.
 */
final class ProgressRecords {
    private static final String CHECKPOINT_PREFIX = "checkpoint/";

    /** Largest size of a checkpoint that is stored, in bytes; its length comes before it. */
    private static final int MAX_CHECKPOINT_BYTES = ValueParts.MAX_BYTES - 16;

    /**
     * Time for which the checkpoint of a run at work is not written again. The worker has it too,
     * so a new leader needs the stored one only if the worker is lost meanwhile.
     */
    private static final long RUNNING_SAVE_INTERVAL_MILLIS = 10_000;

    /**
     * Number of characters in the checkpoints of runs at work from which on the others wait for a
     * later commit. The slowest instance links take 0.9 MB a second.
     */
    private static final int MAX_RUNNING_CHARS = 256 * 1024;

    /**
     * Keys besides its id under which the store holds progress of a job, by the key of the value.
     */
    private final Map<JobId, Map<String, List<String>>> mFurtherKeys = new HashMap<>();

    /** Checkpoints that are loaded and not restored yet, by key, of each job. */
    private final Map<JobId, Map<String, byte[]>> mLoaded = new HashMap<>();

    private int mRunningChars;

    /**
     * Loads the topic's records.
     *
     * @param newest values by key, without those that do not belong to jobs
     * @return values of the jobs' progress by key
     */
    Map<String, byte[]> load(Map<String, byte[]> newest) {
        Map<String, byte[]> progress = new LinkedHashMap<>();
        ValueParts.join(newest)
                .forEach(
                        (key, value) -> {
                            if (key.startsWith(CHECKPOINT_PREFIX)) {
                                JobId.parse(jobOf(key))
                                        .forEach(
                                                job ->
                                                        mLoaded.computeIfAbsent(
                                                                        job,
                                                                        id -> new LinkedHashMap<>())
                                                                .put(key, value));
                            } else {
                                progress.put(key, value);
                            }
                        });
        for (String key : newest.keySet()) {
            String valueKey = ValueParts.valueKey(key);
            if (!progress.containsKey(key)) {
                JobId.parse(jobOf(valueKey))
                        .forEach(
                                job ->
                                        mFurtherKeys
                                                .computeIfAbsent(job, id -> new LinkedHashMap<>())
                                                .computeIfAbsent(valueKey, id -> new ArrayList<>())
                                                .add(key));
            }
        }
        return progress;
    }

    /** Returns the id of the job that a value belongs to. */
    private static String jobOf(String valueKey) {
        if (!valueKey.startsWith(CHECKPOINT_PREFIX)) {
            return valueKey;
        }
        int end = valueKey.indexOf('/', CHECKPOINT_PREFIX.length());
        return valueKey.substring(CHECKPOINT_PREFIX.length(), end < 0 ? valueKey.length() : end);
    }

    private static String checkpointKey(Task task) {
        return CHECKPOINT_PREFIX
                + task.name.job()
                + "/"
                + task.name.occurrence()
                + "."
                + task.name.step()
                + "."
                + task.name.index();
    }

    /**
     * Restores the progress of a job that has none yet.
     *
     * @param job job whose progress is restored
     * @param value value of its progress
     * @return the runs that may be present on workers
     * @throws Reader.MalformedInputException if the value is not the progress of this job
     */
    List<ProgressCodec.LiveRun> restore(Job job, byte[] value) {
        List<ProgressCodec.LiveRun> runs = ProgressCodec.decode(job, value);
        Map<String, byte[]> checkpoints = mLoaded.remove(job.submission.job());
        if (checkpoints != null) {
            job.forEachTask(
                    task -> {
                        byte[] checkpoint = checkpoints.get(checkpointKey(task));
                        if (checkpoint != null) {
                            restoreCheckpoint(task, checkpoint);
                        }
                    });
        }
        return runs;
    }

    /** A checkpoint in the progress itself is the newer one. */
    private static void restoreCheckpoint(Task task, byte[] value) {
        if (task.done || !task.checkpoint.isEmpty()) {
            return;
        }
        try {
            byte[] bytes = new Reader(value).bytes();
            task.checkpoint.restoreStored(new String(bytes, StandardCharsets.UTF_8));
        } catch (Reader.MalformedInputException e) {
            LogEvent.RECORD_SKIPPED.log(e, "checkpoint of task " + task.name + " cannot be read");
        }
    }

    /**
     * Ends the loading.
     *
     * @param removed whether the submission of a job is removed
     * @return the jobs without a submission whose records remain
     */
    List<JobId> finishLoading(Predicate<JobId> removed) {
        mLoaded.clear();
        return mFurtherKeys.keySet().stream().filter(removed).toList();
    }

    /**
     * Encodes the progress of jobs for one commit.
     *
     * @param jobs jobs whose progress differs from the stored progress
     * @param nowMillis monotonic time
     * @return the records in the order in which they have to be appended
     */
    List<KeyedRecord> encode(Collection<Job> jobs, long nowMillis) {
        mRunningChars = 0;
        List<KeyedRecord> records = new ArrayList<>();
        jobs.forEach(job -> add(job, nowMillis, records));
        return records;
    }

    private void add(Job job, long nowMillis, List<KeyedRecord> records) {
        JobId id = job.submission.job();
        Map<String, List<String>> earlier = mFurtherKeys.getOrDefault(id, Map.of());
        Map<String, List<String>> keys = new LinkedHashMap<>();
        if (!job.terminal()) {
            job.forEachTask(
                    task -> {
                        // The members of a gang share the checkpoint of its first task.
                        if (!task.done && task.step.failureCounter(task) == task) {
                            List<String> kept = addCheckpoint(task, nowMillis, records, earlier);
                            if (!kept.isEmpty()) {
                                keys.put(checkpointKey(task), kept);
                            }
                        }
                    });
        }
        List<KeyedRecord> parts = ValueParts.split(id.value(), ProgressCodec.encode(job));
        records.addAll(parts);
        if (parts.size() > 1) {
            keys.put(id.value(), parts.stream().skip(1).map(KeyedRecord::key).toList());
        }
        earlier.forEach(
                (valueKey, earlierKeys) -> {
                    List<String> kept = keys.getOrDefault(valueKey, List.of());
                    earlierKeys.stream()
                            .filter(key -> !kept.contains(key))
                            .forEach(key -> records.add(new KeyedRecord(key, null)));
                });
        if (keys.isEmpty()) {
            mFurtherKeys.remove(id);
        } else {
            mFurtherKeys.put(id, keys);
        }
    }

    /**
     * Adds the checkpoint of a task if it needs a value of its own that is not stored yet.
     *
     * @return the keys under which its own value is stored; none if it needs none
     */
    private List<String> addCheckpoint(
            Task task,
            long nowMillis,
            List<KeyedRecord> records,
            Map<String, List<String>> earlierKeys) {
        Checkpoint checkpoint = task.checkpoint;
        if (checkpoint.isShort()) {
            checkpoint.noteRemoved();
            return List.of();
        }
        String key = checkpointKey(task);
        if (!checkpoint.isStored() && isDue(task, nowMillis)) {
            byte[] bytes = checkpoint.value().getBytes(StandardCharsets.UTF_8);
            if (bytes.length <= MAX_CHECKPOINT_BYTES) {
                List<KeyedRecord> parts =
                        ValueParts.split(key, new Writer().bytes(bytes).toBytes());
                records.addAll(parts);
                checkpoint.noteStored(nowMillis);
                return parts.stream().map(KeyedRecord::key).toList();
            }
            LogEvent.CHECKPOINT_TOO_LONG.log(task.name, bytes.length, MAX_CHECKPOINT_BYTES);
            checkpoint.noteNotStorable();
        }
        return checkpoint.hasRecord() ? earlierKeys.getOrDefault(key, List.of()) : List.of();
    }

    /**
     * Returns whether a checkpoint has to be written now: unless the run that has reported it is at
     * work, only this leader knows it.
     */
    private boolean isDue(Task task, long nowMillis) {
        Checkpoint checkpoint = task.checkpoint;
        if (!hasRun(task, checkpoint.attempt())) {
            return true;
        }
        if (mRunningChars >= MAX_RUNNING_CHARS
                || nowMillis - checkpoint.storedMillis() < RUNNING_SAVE_INTERVAL_MILLIS) {
            return false;
        }
        mRunningChars += checkpoint.value().length();
        return true;
    }

    private static boolean hasRun(Task task, int attempt) {
        if (!task.step.spec.gang()) {
            Run run = task.run;
            return run != null && run.attempt == attempt;
        }
        for (Task member : task.step.tasks) {
            Run run = member.run;
            if (run != null && run.attempt == attempt) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the records that remove the progress of a job whose submission is removed.
     *
     * @param job id of the job
     */
    List<KeyedRecord> remove(JobId job) {
        List<KeyedRecord> records = new ArrayList<>();
        records.add(new KeyedRecord(job.value(), null));
        Map<String, List<String>> furtherKeys = mFurtherKeys.remove(job);
        if (furtherKeys != null) {
            furtherKeys
                    .values()
                    .forEach(keys -> keys.forEach(key -> records.add(new KeyedRecord(key, null))));
        }
        return records;
    }
}
