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
 * The part of the replicated state that the front needs. Immutable; the control duty publishes a
 * new view to replace it.
 *
 * @param configVersion version of the configuration in force
 * @param activity returns whether this member may use slots now; evaluated at each use
 * @param services services by name
 */
public record RoutingView(
        long configVersion, BooleanSupplier activity, Map<String, Service> services) {
    /** The view before the state is known. */
    public static final RoutingView NONE = new RoutingView(0, () -> false, Map.of());

    /** Copies the map of services. */
    public RoutingView {
        services = Map.copyOf(services);
    }

    /**
     * Builds a view with a fixed activity. To be called by the thread that owns the state.
     *
     * @param state the replicated state
     * @param own this member
     * @param leaving endpoints that get no new requests because the platform's list marks them as
     *     leaving or no longer contains them
     * @param active whether this member may use slots
     * @return the view
     */
    public static RoutingView from(
            ClusterState state, InstanceId own, Set<EndpointId> leaving, boolean active) {
        return from(state, own, leaving, () -> active);
    }

    /**
     * Builds a view whose activity is evaluated at each use, so that a process that was paused does
     * not continue with a permission that has expired in the meantime.
     *
     * @param state the replicated state
     * @param own this member
     * @param leaving endpoints that get no new requests
     * @param activity returns whether this member may use slots now; called on any thread
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
     * Tells whether requests of at least one service can be sent.
     *
     * @return true if this member may use slots and holds a slot of an endpoint that is not leaving
     */
    public boolean canSend() {
        return active()
                && services.values().stream()
                        .anyMatch(service -> !service.usableEndpoints().isEmpty());
    }

    /**
     * A service.
     *
     * @param name service name, the first path segment of its requests
     * @param timeoutMillis upper limit of a caller's timeout, and longest processing time at an
     *     endpoint
     * @param attemptTimeoutMillis time after which an attempt may be repeated at another endpoint
     * @param idempotentMethods HTTP methods whose requests may be repeated
     * @param endpoints endpoints by id
     */
    public record Service(
            String name,
            long timeoutMillis,
            long attemptTimeoutMillis,
            Set<String> idempotentMethods,
            SortedMap<EndpointId, Endpoint> endpoints) {
        /** Copies the map of endpoints. */
        public Service {
            endpoints = Collections.unmodifiableSortedMap(new TreeMap<>(endpoints));
        }

        List<Endpoint> usableEndpoints() {
            return endpoints.values().stream()
                    .filter(endpoint -> endpoint.heldSlotCount() > 0 && !endpoint.leaving())
                    .toList();
        }
    }

    /**
     * An endpoint.
     *
     * @param id endpoint id from the configuration
     * @param address host:port
     * @param failureDomain failure domain in which the endpoint runs
     * @param heldSlotCount slots held by this member
     * @param leaving true if it gets no new requests
     */
    public record Endpoint(
            EndpointId id,
            String address,
            FailureDomainId failureDomain,
            int heldSlotCount,
            boolean leaving) {}
}
