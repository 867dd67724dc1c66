package org.hornbeamward.dispatch.lead;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hornbeamward.dispatch.account.AccountUsage;
import org.hornbeamward.dispatch.account.ClientAccount;
import org.hornbeamward.dispatch.account.ShareMeter;
import org.hornbeamward.dispatch.port.Loop;
import org.hornbeamward.event.LogEvent;
import org.hornbeamward.lib.Resources;

/**
 * What the leader knows of client accounts: what their tasks take, and which of their jobs lie
 * beyond their share. All runs count that may be present on a worker, so a new leader knows the
 * sums once it has loaded the progress of the jobs. Runs on the loop.
 */
final class AccountControl {
    /** Minimum time between two log lines of the same kind about an account. */
    private static final long LOG_INTERVAL_MILLIS = 1_000;

    private final Loop mLoop;
    private final NodeMetrics mMetrics;
    private final AccountUsage mUsage = new AccountUsage();
    private final ShareMeter mShares = new ShareMeter();
    private final Map<String, Long> mLimitLoggedMillis = new HashMap<>();
    private final Map<String, Long> mShareLoggedMillis = new HashMap<>();

    AccountControl(Loop loop, NodeMetrics metrics) {
        mLoop = loop;
        mMetrics = metrics;
    }

    /** Counts a run that may be present on a worker from now on. */
    void attached(Run run) {
        mUsage.add(run.accountName(), run.task.step.spec.size());
    }

    /** Removes a run that is certainly gone. */
    void detached(Run run) {
        mUsage.remove(run.accountName(), run.task.step.spec.size());
    }

    /**
     * Returns whether an account may run a further task.
     *
     * @param account the account
     * @param plannedSize what the tasks take that are placed and not attached yet
     * @param size size of the further task
     */
    boolean admits(ClientAccount account, Resources plannedSize, Resources size) {
        Resources running = mUsage.running(account.name()).plus(plannedSize);
        if (account.admits(running, size)) {
            return true;
        }
        mMetrics.recordAccountAtLimit(account.name());
        if (isLogDue(mLimitLoggedMillis, account.name())) {
            LogEvent.ACCOUNT_AT_LIMIT.log(account.name(), running, size, account.limit());
        }
        return false;
    }

    /** Returns, without counting it, whether an account may not run a further task now. */
    boolean isAtLimit(ClientAccount account, Resources size) {
        return !account.admits(mUsage.running(account.name()), size);
    }

    /** Determines whether a new job lies within the share of its account. */
    void arrived(Job job) {
        ClientAccount account = job.account;
        if (account == null) {
            return;
        }
        job.beyondShare = !mShares.arrived(account, job.submission.acceptedWallMillis());
        mMetrics.recordAccountJob(account.name(), !job.beyondShare);
        if (job.beyondShare && isLogDue(mShareLoggedMillis, account.name())) {
            LogEvent.ACCOUNT_BEYOND_SHARE.log(
                    job.submission.job(), account.name(), account.jobsPerSecond());
        }
    }

    /** Determines it for the jobs that a new leader has loaded, in the order of their arrival. */
    void loaded(Collection<Job> jobs) {
        jobs.stream()
                .sorted(Comparator.comparingLong(job -> job.submission.acceptedWallMillis()))
                .forEach(this::arrived);
    }

    private boolean isLogDue(Map<String, Long> loggedMillis, String account) {
        Long last = loggedMillis.get(account);
        if (last != null && mLoop.nowMillis() - last < LOG_INTERVAL_MILLIS) {
            return false;
        }
        loggedMillis.put(account, mLoop.nowMillis());
        return true;
    }

    /**
     * Returns how long the oldest job beyond the share of its account has been waiting for workers.
     *
     * @param jobs the jobs that have not ended
     * @return milliseconds; 0 if none waits
     */
    long beyondShareWaitMillis(Collection<Job> jobs) {
        long oldestWallMillis = mLoop.wallMillis();
        for (Job job : jobs) {
            if (job.beyondShare && !job.placed && !job.terminal()) {
                oldestWallMillis = Math.min(oldestWallMillis, job.submission.acceptedWallMillis());
            }
        }
        return mLoop.wallMillis() - oldestWallMillis;
    }

    /** Describes the accounts that have jobs, in one line each. */
    List<String> describe(Collection<Job> jobs) {
        Map<String, ClientAccount> accounts = new TreeMap<>();
        Map<String, Integer> waiting = new HashMap<>();
        Map<String, Integer> beyond = new HashMap<>();
        for (Job job : jobs) {
            ClientAccount account = job.account;
            if (account != null) {
                accounts.put(account.name(), account);
                waiting.merge(account.name(), job.placed ? 0 : 1, Integer::sum);
                beyond.merge(account.name(), job.beyondShare ? 1 : 0, Integer::sum);
            }
        }
        List<String> lines = new ArrayList<>();
        accounts.forEach(
                (name, account) ->
                        lines.add(
                                "account "
                                        + name
                                        + " running="
                                        + mUsage.running(name)
                                        + " limit="
                                        + account.limit()
                                        + " jobsPerSecond="
                                        + account.jobsPerSecond()
                                        + " waitingJobs="
                                        + waiting.get(name)
                                        + " jobsBeyondShare="
                                        + beyond.get(name)));
        return lines;
    }
}
