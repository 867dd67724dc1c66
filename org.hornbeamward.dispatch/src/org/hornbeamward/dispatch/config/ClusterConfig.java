package org.hornbeamward.dispatch.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hornbeamward.dispatch.account.AccountDirectory;

/**
 * A complete configuration.
 *
 * @param version its version; versions increase
 * @param queues queues by name
 * @param pools worker pools by name
 * @param accounts client accounts
 * @param maxBodyBytes largest request body
 */
public record ClusterConfig(
        long version,
        Map<String, QueueConfig> queues,
        Map<String, PoolConfig> pools,
        AccountDirectory accounts,
        int maxBodyBytes) {

    /** Copies the maps. */
    public ClusterConfig {
        queues = Map.copyOf(queues);
        pools = Map.copyOf(pools);
    }

    /**
     * Creates a configuration without client accounts from lists.
     *
     * @param version version of the configuration
     * @param queues all queues
     * @param pools all worker pools
     * @param maxBodyBytes largest request body
     * @return the configuration
     */
    public static ClusterConfig of(
            long version, List<QueueConfig> queues, List<PoolConfig> pools, int maxBodyBytes) {
        return of(version, queues, pools, AccountDirectory.NONE, maxBodyBytes);
    }

    /**
     * Creates a configuration from lists.
     *
     * @param version version of the configuration
     * @param queues all queues
     * @param pools all worker pools
     * @param accounts client accounts
     * @param maxBodyBytes largest request body
     * @return the configuration
     */
    public static ClusterConfig of(
            long version,
            List<QueueConfig> queues,
            List<PoolConfig> pools,
            AccountDirectory accounts,
            int maxBodyBytes) {
        Map<String, QueueConfig> queuesByName = new HashMap<>();
        queues.forEach(queue -> queuesByName.put(queue.name(), queue));
        Map<String, PoolConfig> poolsByName = new HashMap<>();
        pools.forEach(pool -> poolsByName.put(pool.name(), pool));
        return new ClusterConfig(version, queuesByName, poolsByName, accounts, maxBodyBytes);
    }

    /**
     * Finds the queue that a request is routed to.
     *
     * @param host host name without port
     * @param path path of the request
     * @return the queue with the longest matching prefix
     */
    public Optional<QueueConfig> route(String host, String path) {
        QueueConfig best = null;
        for (QueueConfig queue : queues.values()) {
            boolean matches =
                    queue.host().equalsIgnoreCase(host) && path.startsWith(queue.pathPrefix());
            if (matches
                    && (best == null || queue.pathPrefix().length() > best.pathPrefix().length())) {
                best = queue;
            }
        }
        return Optional.ofNullable(best);
    }
}
