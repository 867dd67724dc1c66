package org.hornbeamward.pgm.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vavr.control.Either;
import java.net.URI;
import java.security.SecureRandom;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import org.hornbeamward.command.JoinMember;
import org.hornbeamward.event.LogEvent;
import org.hornbeamward.kernel.Kernel;
import org.hornbeamward.lib.JitteredBackoff;
import org.hornbeamward.lib.MonotonicClock;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.pgm.admin.AdminServer;
import org.hornbeamward.pgm.settings.EntrySettings;
import org.hornbeamward.pgm.settings.HostPort;
import org.hornbeamward.route.claim.AtMostOnceExecutor;
import org.hornbeamward.route.front.FrontConfig;
import org.hornbeamward.route.front.FrontHandler;
import org.hornbeamward.route.front.FrontServer;
import org.hornbeamward.route.slot.SlotUse;
import org.hornbeamward.storage.list.InstanceListPoller;
import org.hornbeamward.storage.log.HttpLogClient;
import org.hornbeamward.storage.log.StreamFollower;
import org.hornbeamward.transport.link.LinkCounters;
import org.hornbeamward.transport.link.LinkServer;

/** One entry instance: its servers, links and duties. */
public final class EntryProcess implements AutoCloseable {
    private static final int LINK_THREAD_COUNT = 2;
    private static final long LOG_TIMEOUT_MILLIS = 2_000;
    private static final long LIST_POLL_MILLIS = 1_000;

    /**
     * Each read of the log costs HTTP headers; ten reads a second stay within 11 KB/s at the
     * target.
     */
    static final int LOG_READ_INTERVAL_MILLIS = 100;

    private static final long MAX_ANSWER_BYTES = 16L * 1024 * 1024;
    private static final long STOP_STEP_MILLIS = 3_000;
    private static final long STOP_POLL_MILLIS = 20;

    private final MonotonicClock mClock = MonotonicClock.SYSTEM;
    private final ControlRing mRing = new ControlRing();
    private final EventLoopGroup mLoops = new NioEventLoopGroup(LINK_THREAD_COUNT);
    private final LinkCounters mCounters = new LinkCounters();
    private final LatencyRecorder mLatency = new LatencyRecorder();
    private final AtomicBoolean mLoadRequested = new AtomicBoolean(true);
    private final SlotUse mSlotUse = new SlotUse();
    private final Kernel mKernel = new Kernel();
    private final HttpLogClient mLog;
    private final AppenderDuty mAppenders;
    private final InstanceListPoller mListPoller;
    private final LinkServer mPeerServer;
    private final FrontServer mFrontServer;
    private final AdminServer mAdminServer;
    private final ControlDuty mControl;
    private final Bootstrap mBootstrap;

    /**
     * Starts an entry instance.
     *
     * @param settings its settings
     * @throws InterruptedException if interrupted while binding
     */
    public EntryProcess(EntrySettings settings) throws InterruptedException {
        mLog =
                new HttpLogClient(
                        settings.logUrl().getHost(), port(settings.logUrl()), LOG_TIMEOUT_MILLIS);
        mAppenders = new AppenderDuty(mLog, mClock);
        AnswerQueries answers = new AnswerQueries(mRing, mClock);
        AtMostOnceExecutor claims = atMostOnceExecutor(settings, answers);
        FrontConfig frontConfig = frontConfig(settings);
        FrontHandler front = new FrontHandler(frontConfig, mSlotUse, claims, mLatency);
        Runnable reload = () -> mLoadRequested.set(true);
        RequestsFollower requests = new RequestsFollower(mLog, claims, mClock, reload);
        SnapshotDuty snapshots =
                new SnapshotDuty(mLog, requests, settings.snapshotIntervalRecordCount());
        mPeerServer =
                new LinkServer(
                        mLoops,
                        settings.peerAddress().host(),
                        settings.peerAddress().port(),
                        PeerMesh.handler(mRing),
                        mCounters);
        mFrontServer =
                new FrontServer(
                        settings.requestAddress().host(),
                        settings.requestAddress().port(),
                        frontConfig,
                        front,
                        mSlotUse);
        PrometheusRegistry metrics = new PrometheusRegistry();
        mAdminServer =
                new AdminServer(
                        settings.adminAddress(),
                        new EntryBackend(mRing, mAppenders, this::ready, this::dumpProcess, mClock),
                        metrics);
        ControlDutyContext context =
                new ControlDutyContext(
                        joinTemplate(settings),
                        mClock,
                        mRing,
                        mLoops,
                        mCounters,
                        mAppenders,
                        mSlotUse,
                        front,
                        claims,
                        answers,
                        mLatency,
                        addresses(settings),
                        reload);
        mControl =
                new ControlDuty(
                        context,
                        new DeciderRunner(settings.instance(), mKernel.registry()),
                        snapshots);
        StreamFollower control = controlFollower();
        mBootstrap = new Bootstrap(mLog, mRing, control, requests, mLoadRequested);
        mListPoller = poller(settings);
        EntryMetrics.register(metrics, mControl, mRing, mAppenders, control, mCounters, mLatency);
        startDuties(control, requests, snapshots);
    }

    private void startDuties(
            StreamFollower control, RequestsFollower requests, SnapshotDuty snapshots) {
        mKernel.start(mBootstrap);
        mKernel.start(new AfterBootstrapDuty(control, mBootstrap));
        mKernel.start(new AfterBootstrapDuty(mAppenders, mBootstrap));
        mKernel.start(requests);
        mKernel.start(snapshots);
        mKernel.start(mListPoller);
        mKernel.start(mControl);
    }

    private AtMostOnceExecutor atMostOnceExecutor(EntrySettings settings, AnswerQueries answers) {
        return new AtMostOnceExecutor(
                settings.instance(),
                new SecureRandom().nextLong() >>> 16,
                record -> mLog.append(RequestsFollower.REQUESTS_STREAM, record.encode()),
                answers,
                mClock,
                System::currentTimeMillis,
                MAX_ANSWER_BYTES);
    }

    private StreamFollower controlFollower() {
        return new StreamFollower(
                mLog,
                Incarnation.CONTROL_STREAM,
                0,
                event -> mRing.offer(new ControlEvent.LogFollowed(event)),
                new JitteredBackoff(new SecureRandom(), 250, 8_000),
                mClock,
                LOG_READ_INTERVAL_MILLIS);
    }

    private InstanceListPoller poller(EntrySettings settings) {
        return new InstanceListPoller(
                settings.listUrl().getHost(),
                port(settings.listUrl()),
                LIST_POLL_MILLIS,
                LIST_POLL_MILLIS,
                list -> mRing.offerOrDrop(new ControlEvent.ListChanged(list)),
                mClock);
    }

    private static int port(URI uri) {
        return uri.getPort() > 0 ? uri.getPort() : 80;
    }

    private JoinMember joinTemplate(EntrySettings settings) {
        return new JoinMember(
                settings.instance(),
                0,
                settings.failureDomain(),
                settings.region(),
                new HostPort(settings.peerAddress().host(), mPeerServer.port()).toString(),
                new HostPort(settings.adminAddress().host(), mAdminServer.port()).toString());
    }

    private static FrontConfig frontConfig(EntrySettings settings) {
        FrontConfig defaults = FrontConfig.DEFAULT;
        return new FrontConfig(
                defaults.maxQueueCount(),
                defaults.maxRequestBytes(),
                defaults.maxResponseBytes(),
                settings.frontThreadCount(),
                defaults.maxRetryCount(),
                settings.shutdownWaitMillis(),
                defaults.stopMillis());
    }

    private static SortedMap<WorkerId, String> addresses(EntrySettings settings) {
        SortedMap<WorkerId, String> addresses = new TreeMap<>();
        settings.workers().forEach((worker, address) -> addresses.put(worker, address.toString()));
        return addresses;
    }

    private boolean ready() {
        return mBootstrap.loaded() && mFrontServer.isReady();
    }

    private void dumpProcess(ObjectNode dump) {
        ObjectNode process = dump.putObject("process");
        process.put("controlRingCount", mRing.size());
        process.put("controlRingDroppedCount", mRing.droppedCount());
        process.put("linkBytesIn", mCounters.bytesIn());
        process.put("linkBytesOut", mCounters.bytesOut());
        process.put("requestsAnsweredCount", mLatency.answeredCount());
        process.put("requestsNotRunCount", mLatency.notRunCount());
        process.put("requestsUnknownCount", mLatency.unknownCount());
        process.put("slotsUsedCount", mSlotUse.totalUsed());
        mListPoller.current().ifPresent(list -> process.put("listVersion", list.version()));
    }

    /**
     * Returns the port for client requests.
     *
     * @return the bound port
     */
    public int requestPort() {
        return mFrontServer.port();
    }

    /**
     * Returns the port of the admin API.
     *
     * @return the bound port
     */
    public int adminPort() {
        return mAdminServer.port();
    }

    /**
     * Returns the port for links from other members.
     *
     * @return the bound port
     */
    public int peerPort() {
        return mPeerServer.port();
    }

    /**
     * Stops gracefully: finishes requests in flight, gives back the slots and leaves the
     * membership.
     *
     * @throws InterruptedException if interrupted while waiting
     */
    public void stop() throws InterruptedException {
        LogEvent.PROCESS_STOPPING.log("hornbeamward-entry", "requests in flight are finished");
        mFrontServer.drain();
        runOnControlDuty(
                control -> {
                    control.giveBackSlots();
                    return true;
                });
        await(control -> !control.slotsOutstanding());
        runOnControlDuty(
                control -> {
                    control.leave();
                    return true;
                });
        await(control -> !control.member());
        close();
        LogEvent.PROCESS_STOPPED.log("hornbeamward-entry");
    }

    private void await(Function<ControlDuty, Boolean> condition) throws InterruptedException {
        long startedNanos = mClock.nowNanos();
        long limitNanos = TimeUnit.MILLISECONDS.toNanos(STOP_STEP_MILLIS);
        while (mClock.nowNanos() - startedNanos < limitNanos) {
            if (runOnControlDuty(condition)) {
                return;
            }
            Thread.sleep(STOP_POLL_MILLIS);
        }
    }

    private boolean runOnControlDuty(Function<ControlDuty, Boolean> action)
            throws InterruptedException {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        Either<?, Void> offered =
                mRing.offer(
                        new ControlEvent.RunAction(
                                control -> done.complete(action.apply(control))));
        if (offered.isLeft()) {
            return false;
        }
        try {
            return done.get(STOP_STEP_MILLIS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            return false;
        }
    }

    /** Stops immediately. */
    @Override
    public void close() {
        mKernel.close();
        mControl.closeLinks();
        mPeerServer.close();
        mFrontServer.close();
        mAdminServer.close();
        mListPoller.close();
        mLog.close();
        mLoops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }
}
