package org.hornbeamward.pgm.entry;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.DoubleSupplier;
import java.util.function.ToDoubleFunction;
import org.hornbeamward.storage.log.StreamFollower;
import org.hornbeamward.transport.link.LinkCounters;

/** The Prometheus metrics of an entry process. */
final class EntryMetrics {
    private final PrometheusRegistry mRegistry;

    private EntryMetrics(PrometheusRegistry registry) {
        mRegistry = registry;
    }

    static void register(
            PrometheusRegistry registry,
            ControlDuty control,
            ControlRing ring,
            AppenderDuty appenders,
            StreamFollower follower,
            LinkCounters links,
            LatencyRecorder requests) {
        EntryMetrics metrics = new EntryMetrics(registry);
        metrics.gauge(
                "hornbeamward_member_active",
                "1 while this member may act",
                () -> control.active() ? 1 : 0);
        metrics.gauge("hornbeamward_control_ring_events", "events waiting", ring::size);
        metrics.counter(
                "hornbeamward_control_ring_dropped_events",
                "messages dropped on a full ring",
                ring::droppedCount);
        metrics.counter(
                "hornbeamward_log_read_bytes",
                "bytes of records read from the control stream",
                follower::byteCount);
        metrics.counter(
                "hornbeamward_log_read_records",
                "records read from the control stream",
                follower::recordCount);
        metrics.counter(
                "hornbeamward_log_appended_bytes",
                "bytes appended by this incarnation",
                () -> ofCurrent(appenders, current -> current.appender().byteCount()));
        metrics.counter(
                "hornbeamward_log_resent_batches",
                "batches sent again by this incarnation",
                () -> ofCurrent(appenders, current -> current.appender().resendCount()));
        metrics.counter("hornbeamward_link_in_bytes", "bytes received on links", links::bytesIn);
        metrics.counter("hornbeamward_link_out_bytes", "bytes sent on links", links::bytesOut);
        metrics.counter(
                "hornbeamward_requests_answered", "requests answered", requests::answeredCount);
        metrics.counter("hornbeamward_requests_not_run", "requests refused", requests::notRunCount);
        metrics.counter(
                "hornbeamward_requests_unknown",
                "requests of unknown outcome",
                requests::unknownCount);
    }

    private static double ofCurrent(AppenderDuty appenders, ToDoubleFunction<Incarnation> value) {
        Incarnation current = appenders.current();
        return current == null ? 0 : value.applyAsDouble(current);
    }

    private void gauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(mRegistry);
    }

    private void counter(String name, String help, DoubleSupplier value) {
        CounterWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(mRegistry);
    }
}
