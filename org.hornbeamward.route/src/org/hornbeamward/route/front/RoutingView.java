package org.hornbeamward.route.front;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.hornbeamward.config.Configuration;
import org.hornbeamward.config.EndpointConfig;
import org.hornbeamward.lib.EndpointId;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.state.ClusterState;

/**
 * What the front knows of the replicated state. Immutable; the control duty publishes a new one.
 *
 * @param configVersion version of the configuration in force
 * @param activity tells at each use whether this member may use slots
 * @param services by name
 */
public record RoutingView(
        long configVersion, BooleanSupplier activity, Map<String, Service> services) {
    /** The view before the state is known. */
    public static final RoutingView NONE = new RoutingView(0, () -> false, Map.of());

    /** Copies the map. */
    public RoutingView {
        services = Map.copyOf(services);
    }

    /**
     * Builds a view. To be called by the thread that owns the state.
     *
     * @param state the replicated state
     * @param own this member
     * @param leaving endpoints that get no new requests, because the platform's list names them as
     *     leaving or no longer names them
     * @param active whether this member may use slots
     * @return the view
     */
    public static RoutingView from(
            ClusterState state, InstanceId own, Set<EndpointId> leaving, boolean active) {
        return from(state, own, leaving, () -> active);
    }

    /**
     * Builds a view whose activity is asked for at each use, so that a process that was paused does
     * not go on with what it was allowed before.
     *
     * @param state the replicated state
     * @param own this member
     * @param leaving endpoints that get no new requests
     * @param activity whether this member may use slots now; called on any thread
     * @return the view
     */
    public static RoutingView from(
            ClusterState state, InstanceId own, Set<EndpointId> leaving, BooleanSupplier activity) {
        Configuration configuration = state.config().configuration();
        Map<String, SortedMap<EndpointId, Endpoint>> endpoints = new TreeMap<>();
        for (Map.Entry<EndpointId, EndpointConfig> entry : configuration.endpoints().entrySet()) {
            EndpointId id = entry.getKey();
            EndpointConfig config = entry.getValue();
            endpoints
                    .computeIfAbsent(config.service(), unused -> new TreeMap<>())
                    .put(
                            id,
                            new Endpoint(
                                    id,
                                    config.address(),
                                    config.failureDomain(),
                                    state.slots().held(id, own),
                                    leaving.contains(id)));
        }
        Map<String, Service> services = new TreeMap<>();
        configuration
                .services()
                .forEach(
                        (name, config) ->
                                services.put(
                                        name,
                                        new Service(
                                                name,
                                                config.requestTimeoutMillis(),
                                                config.agreedPeriodMillis(),
                                                Set.copyOf(config.idempotentMethods()),
                                                endpoints.getOrDefault(
                                                        name, Collections.emptySortedMap()))));
        return new RoutingView(state.config().version(), activity, services);
    }

    /**
     * Tells whether this member may use slots now.
     *
     * @return true while it may
     */
    public boolean active() {
        return activity.getAsBoolean();
    }

    /**
     * Tells whether requests of some service can be sent.
     *
     * @return true if this member may use slots and holds one
     */
    public boolean canSend() {
        return active()
                && services.values().stream().anyMatch(service -> !service.usable().isEmpty());
    }

    /**
     * A service.
     *
     * @param name its name
     * @param timeoutMillis cap of a caller's timeout and longest processing time at an endpoint
     * @param attemptMillis time after which an attempt may be repeated elsewhere
     * @param idempotentMethods methods that may be repeated
     * @param endpoints by id
     */
    public record Service(
            String name,
            long timeoutMillis,
            long attemptMillis,
            Set<String> idempotentMethods,
            SortedMap<EndpointId, Endpoint> endpoints) {
        /** Copies the map. */
        public Service {
            endpoints = Collections.unmodifiableSortedMap(new TreeMap<>(endpoints));
        }

        List<Endpoint> usable() {
            return endpoints.values().stream()
                    .filter(endpoint -> endpoint.heldSlotCount() > 0 && !endpoint.leaving())
                    .toList();
        }
    }

    /**
     * An endpoint.
     *
     * @param id its id
     * @param address host:port
     * @param failureDomain its failure domain
     * @param heldSlotCount slots held by this member
     * @param leaving whether it gets no new requests
     */
    public record Endpoint(
            EndpointId id,
            String address,
            FailureDomainId failureDomain,
            int heldSlotCount,
            boolean leaving) {}
}
