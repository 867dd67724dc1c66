package org.hornbeamward.route.front;

import org.hornbeamward.lib.MonotonicClock;
import org.hornbeamward.route.slot.SlotUse;
import org.hornbeamward.transport.http.HttpServer;

/** HTTP server of the front, with graceful shutdown. */
public final class FrontServer implements AutoCloseable {
    private static final long POLL_MILLIS = 10;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final FrontConfig mConfig;
    private final FrontHandler mHandler;
    private final SlotUse mUse;
    private final HttpServer mServer;
    private volatile boolean mReady = true;

    /**
     * Starts listening.
     *
     * @param host address to bind
     * @param port port to bind, 0 for any free one
     * @param config settings of the front
     * @param handler handles the requests; closed together with this server
     * @param use counts of this member's slots
     * @throws InterruptedException if interrupted while binding
     */
    public FrontServer(String host, int port, FrontConfig config, FrontHandler handler, SlotUse use)
            throws InterruptedException {
        mConfig = config;
        mHandler = handler;
        mUse = use;
        mServer =
                new HttpServer(host, port, config.threadCount(), config.maxRequestBytes(), handler);
    }

    /**
     * Returns the bound port.
     *
     * @return the port number
     */
    public int port() {
        return mServer.port();
    }

    /**
     * Tells whether the load balancer may send new requests.
     *
     * @return false before the first slots are held, while this member is inactive and during a
     *     graceful stop
     */
    public boolean isReady() {
        return mReady && mHandler.view().canSend();
    }

    /**
     * Stops gracefully: reports not ready, waits for the load balancer, stops accepting requests,
     * and waits until no request is in flight and no slot is in use. The caller must then give back
     * the slots ({@link org.hornbeamward.route.slot.SlotPlanner#giveBackAll}) and close this
     * server.
     *
     * @return true if all requests ended within the configured time
     * @throws InterruptedException if interrupted while waiting
     */
    public boolean drain() throws InterruptedException {
        mReady = false;
        Thread.sleep(mConfig.loadBalancerWaitMillis());
        mServer.startDraining();
        long startNanos = MonotonicClock.SYSTEM.nowNanos();
        long limitNanos = mConfig.stopMillis() * NANOS_PER_MILLI;
        while (mServer.inFlightCount() > 0 || mUse.totalUsed() > 0) {
            if (MonotonicClock.SYSTEM.nowNanos() - startNanos >= limitNanos) {
                return false;
            }
            Thread.sleep(POLL_MILLIS);
        }
        return true;
    }

    @Override
    public void close() {
        mServer.close();
        mHandler.close();
    }
}
