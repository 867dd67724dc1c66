package org.hornbeamward.storage.list;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hornbeamward.errors.InvalidSetting;
import org.hornbeamward.kernel.Kernel;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.standin.list.ListFaults;
import org.hornbeamward.standin.list.ListStandIn;
import org.hornbeamward.storage.Await;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against removing instances because of an empty, outdated or malformed list. */
class InstanceListPollerTest {
    private static final InstanceEntry FIRST = entry("e1", InstanceState.LIVE);
    private static final InstanceEntry LEAVING = entry("e1", InstanceState.LEAVING);

    private final List<InstanceList> mChanges = new CopyOnWriteArrayList<>();
    private final AtomicLong mNowNanos = new AtomicLong();
    private ListStandIn mList;
    private InstanceListPoller mPoller;
    private Kernel mKernel;

    private static InstanceEntry entry(String id, InstanceState state) {
        FailureDomainId domain = new FailureDomainId("kigali-1");
        return new InstanceEntry(id, InstanceKind.ENDPOINT, "10.0.0.1:80", domain, state);
    }

    @BeforeEach
    void start() throws InterruptedException {
        mList = new ListStandIn(0);
        // Each call of the clock advances it by one poll interval, so the next poll starts at once.
        mPoller =
                new InstanceListPoller(
                        "127.0.0.1",
                        mList.port(),
                        10,
                        2_000,
                        mChanges::add,
                        () -> mNowNanos.addAndGet(10_000_000));
        mKernel = new Kernel();
    }

    @AfterEach
    void stop() {
        mKernel.close();
        mPoller.close();
        mList.close();
    }

    private void startWith(InstanceEntry... entries) throws InterruptedException {
        mList.setInstances(List.of(entries));
        mKernel.start(mPoller);
        Await.until("the first list", () -> mPoller.current().isPresent());
    }

    private void awaitIgnored(String kind, String text) throws InterruptedException {
        long before = mPoller.ignoredCount();
        Await.until(
                "ignored with " + kind + " " + text,
                () ->
                        mPoller.ignoredCount() > before + 1
                                && mPoller.lastProblem()
                                        .filter(error -> error.kind().equals(kind))
                                        .filter(error -> error.message().contains(text))
                                        .isPresent());
    }

    @Test
    void eachChangeIsReportedOnce() throws InterruptedException {
        startWith(FIRST);
        mList.setInstances(List.of(LEAVING));
        Await.until("the change", () -> mChanges.size() == 2);
        long served = mList.events().countOf("served");
        Await.until("further polls", () -> mList.events().countOf("served") > served + 2);
        assertEquals(
                List.of(new InstanceList(1, List.of(FIRST)), new InstanceList(2, List.of(LEAVING))),
                mChanges);
    }

    @Test
    void invalidListsAreIgnoredAndTheLastValidOneStays() throws InterruptedException {
        startWith(FIRST);
        mList.setInstances(List.of(LEAVING));
        Await.until("the change", () -> mChanges.size() == 2);
        mList.setFaults(ListFaults.NONE.withEmpty(true));
        awaitIgnored("InvalidSetting", "expected at least one");
        mList.setFaults(ListFaults.NONE.withVersionsBack(1));
        awaitIgnored("InvalidSetting", "1 is lower than 2");
        mList.setFaults(ListFaults.NONE.withMalformed(true));
        awaitIgnored("InvalidSettings", "expected JSON");
        mList.setFaults(ListFaults.NONE.withDown(true));
        awaitIgnored("PeerUnreachable", "503");
        assertEquals(2, mChanges.size());
        assertEquals(new InstanceList(2, List.of(LEAVING)), mPoller.current().orElseThrow());
        mList.setFaults(ListFaults.NONE);
        Await.until("recovery", () -> mPoller.lastProblem().isEmpty());
        assertEquals(2, mChanges.size());
    }

    @Test
    void ageGrowsDuringAnOutageOnly() throws InterruptedException {
        assertTrue(mPoller.ageNanos().isEmpty());
        startWith(FIRST);
        mList.setFaults(ListFaults.NONE.withDown(true));
        awaitIgnored("PeerUnreachable", "503");
        mNowNanos.addAndGet(3_600_000_000_000L);
        assertTrue(mPoller.ageNanos().orElseThrow() >= 3_600_000_000_000L);
        mList.setFaults(ListFaults.NONE);
        Await.until("recovery", () -> mPoller.ageNanos().orElseThrow() < 3_600_000_000_000L);
    }

    @Test
    void lagHidesAChange() throws InterruptedException {
        mList.setInstances(List.of(FIRST));
        mList.setFaults(ListFaults.NONE.withLagMillis(3_600_000));
        mKernel.start(mPoller);
        awaitIgnored("InvalidSetting", "expected at least one");
        assertTrue(mPoller.current().isEmpty(), "the list before the change was empty");
        mList.setFaults(ListFaults.NONE);
        Await.until("the change", () -> mPoller.current().isPresent());
    }

    @Test
    void encodedListIsDecodedUnchanged() {
        InstanceList list = new InstanceList(9, List.of(FIRST, entry("e2", InstanceState.LEAVING)));
        assertEquals(list, InstanceListCodec.decode(InstanceListCodec.encode(list)).get());
    }

    @Test
    void everyProblemIsReportedWithItsKey() {
        String json =
                "{\"version\":-1,\"instances\":[{\"id\":\"a b\",\"kind\":\"x\",\"address\":\"h\","
                        + "\"failureDomain\":\"\",\"state\":\"GONE\"}]}";
        List<String> keys =
                InstanceListCodec.decode(json.getBytes(StandardCharsets.UTF_8))
                        .getLeft()
                        .problems()
                        .stream()
                        .map(InvalidSetting::key)
                        .toList();
        assertEquals(
                List.of(
                        "version",
                        "instances[0].id",
                        "instances[0].address",
                        "instances[0].failureDomain",
                        "instances[0].kind",
                        "instances[0].state"),
                keys);
    }

    @Test
    void instanceListedTwiceIsRejected() {
        byte[] json = InstanceListCodec.encode(new InstanceList(1, List.of(FIRST, LEAVING)));
        assertTrue(InstanceListCodec.decode(json).isLeft());
    }

    @Property(seed = "51")
    void anyTextIsDecodedOrRejected(@ForAll String text) {
        InstanceListCodec.decode(text.getBytes(StandardCharsets.UTF_8))
                .peekLeft(problems -> assertTrue(!problems.problems().isEmpty()));
    }
}
