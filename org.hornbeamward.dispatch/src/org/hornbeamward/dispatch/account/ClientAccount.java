package org.hornbeamward.dispatch.account;

import java.util.Set;
import org.hornbeamward.lib.Resources;

/**
 * A client account, as operators configure it.
 *
 * @param name name that stored submissions refer to
 * @param keys digests of the API keys with which its callers identify themselves
 * @param jobsPerSecond jobs a second to which the account is entitled when the workers are full; 0
 *     for no entitlement
 * @param limit most that its tasks may take on all workers; 0 in a dimension for no limit
 */
public record ClientAccount(
        String name, Set<KeyDigest> keys, double jobsPerSecond, Resources limit) {

    /** Copies the keys. */
    public ClientAccount {
        keys = Set.copyOf(keys);
    }

    /**
     * Returns whether a further task keeps the account within its limit. An account that runs
     * nothing may start one task of any size, or a limit below the size of a task would leave its
     * jobs waiting for ever.
     *
     * @param running what its tasks take, including those that may still be running
     * @param size size of the further task
     * @return true if the task may start
     */
    public boolean admits(Resources running, Resources size) {
        return running.equals(Resources.NONE)
                || (isWithin(limit.cpuMillicores(), running.cpuMillicores() + size.cpuMillicores())
                        && isWithin(limit.memoryMib(), running.memoryMib() + size.memoryMib())
                        && isWithin(
                                limit.acceleratorCount(),
                                running.acceleratorCount() + size.acceleratorCount()));
    }

    private static boolean isWithin(long limit, long amount) {
        return limit == 0 || amount <= limit;
    }
}
