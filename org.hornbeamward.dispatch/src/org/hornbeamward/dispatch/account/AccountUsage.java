package org.hornbeamward.dispatch.account;

import java.util.HashMap;
import java.util.Map;
import org.hornbeamward.lib.Resources;

/** Sums what the tasks of each account take on all workers. Tasks without an account count too. */
public final class AccountUsage {
    private final Map<String, Resources> mRunning = new HashMap<>();

    /**
     * Adds a task.
     *
     * @param account name of its account; empty for none
     * @param size size of the task
     */
    public void add(String account, Resources size) {
        mRunning.merge(account, size, Resources::plus);
    }

    /**
     * Removes a task that was added.
     *
     * @param account name of its account; empty for none
     * @param size size of the task
     */
    public void remove(String account, Resources size) {
        mRunning.computeIfPresent(
                account,
                (name, running) -> {
                    Resources left = running.minus(size);
                    return left.equals(Resources.NONE) ? null : left;
                });
    }

    /**
     * Returns what the tasks of an account take.
     *
     * @param account name of the account; empty for none
     * @return the sum
     */
    public Resources running(String account) {
        return mRunning.getOrDefault(account, Resources.NONE);
    }
}
