package org.hornbeamward.storage.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import org.hornbeamward.errors.RingFull;
import org.hornbeamward.kernel.Kernel;
import org.hornbeamward.lib.JitteredBackoff;
import org.hornbeamward.lib.MonotonicClock;
import org.hornbeamward.standin.log.LogStandIn;
import org.hornbeamward.standin.proxy.ProxyFaults;
import org.hornbeamward.standin.proxy.ProxyStandIn;
import org.hornbeamward.storage.Await;
import org.junit.jupiter.api.Test;

/** Guards against lost or duplicated commands when connections to the log break. */
class AppendAndFollowTest {
    private final List<String> mDeduplicatedCommands = new CopyOnWriteArrayList<>();
    private long mLastSequence;

    private Either<RingFull, Void> readAndConfirm(
            BatchAppender<String> appender, FollowEvent event) {
        if (event instanceof FollowEvent.RecordRead read) {
            String[] parts = new String(read.bytes(), StandardCharsets.UTF_8).split(":", 2);
            if (Long.parseLong(parts[0]) == mLastSequence + 1) {
                mLastSequence++;
                mDeduplicatedCommands.addAll(Arrays.asList(parts[1].split(",")));
                appender.confirm(mLastSequence);
            }
        }
        return Either.right(null);
    }

    @Test
    void brokenConnectionsGiveEachCommandExactlyOnceInOrder() throws InterruptedException {
        try (LogStandIn log = new LogStandIn(0);
                ProxyStandIn proxy =
                        new ProxyStandIn(0, 0, new InetSocketAddress("127.0.0.1", log.port()));
                HttpLogClient client = new HttpLogClient("127.0.0.1", proxy.port(), 1_000);
                Kernel kernel = new Kernel()) {
            BatchAppender<String> appender =
                    new BatchAppender<>(
                            client,
                            "control",
                            1024,
                            1,
                            (sequence, commands) ->
                                    (sequence + ":" + String.join(",", commands))
                                            .getBytes(StandardCharsets.UTF_8),
                            (command, error) -> {},
                            new JitteredBackoff(new Random(61), 1, 10),
                            MonotonicClock.SYSTEM);
            JitteredBackoff backoff = new JitteredBackoff(new Random(62), 1, 10);
            kernel.start(appender);
            kernel.start(
                    new StreamFollower(
                            client,
                            "control",
                            0,
                            event -> readAndConfirm(appender, event),
                            backoff,
                            MonotonicClock.SYSTEM));
            proxy.setFaults(new ProxyFaults(1, false, false, 0, false, 0.3, 63, false));
            List<String> expected = new ArrayList<>();
            for (int i = 0; i < 300; i++) {
                expected.add("c" + i);
                assertTrue(appender.offer("c" + i).isRight());
                Thread.sleep(2);
            }
            Await.until(
                    "all commands are read", () -> mDeduplicatedCommands.size() >= expected.size());
            Await.until("all commands are confirmed", () -> appender.queueDepth() == 0);
            assertEquals(expected, mDeduplicatedCommands);
            assertTrue(proxy.events().countOf("answer-cut") > 0, "the seed cuts some responses");
        }
    }
}
