package org.hornbeamward.pgm.entry;

import io.netty.channel.EventLoopGroup;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Random;
import java.util.SortedMap;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.pgm.settings.HostPort;
import org.hornbeamward.transport.link.Link;
import org.hornbeamward.transport.link.LinkClient;
import org.hornbeamward.transport.link.LinkCounters;
import org.hornbeamward.transport.link.LinkHandler;
import org.hornbeamward.transport.message.Message;
import org.hornbeamward.transport.message.WorkerMessage;

/** Links to the workers that this instance supervises. Confined to the control duty. */
final class WorkerLinks {
    private final EventLoopGroup mLoops;
    private final ControlRing mRing;
    private final LinkCounters mCounters;
    private final Map<WorkerId, WorkerLink> mLinks = new HashMap<>();

    private record WorkerLink(String address, LinkClient client) {}

    WorkerLinks(EventLoopGroup loops, ControlRing ring, LinkCounters counters) {
        mLoops = loops;
        mRing = ring;
        mCounters = counters;
    }

    /** Opens and closes links to match the given worker addresses. */
    void update(SortedMap<WorkerId, String> addresses) {
        Iterator<Map.Entry<WorkerId, WorkerLink>> links = mLinks.entrySet().iterator();
        while (links.hasNext()) {
            Map.Entry<WorkerId, WorkerLink> link = links.next();
            if (!link.getValue().address().equals(addresses.get(link.getKey()))) {
                link.getValue().client().close();
                links.remove();
            }
        }
        addresses.forEach(
                (worker, address) -> {
                    if (!mLinks.containsKey(worker)) {
                        HostPort.parse(address).forEach(parsed -> connect(worker, parsed, address));
                    }
                });
    }

    private void connect(WorkerId worker, HostPort address, String text) {
        LinkClient client =
                new LinkClient(
                        mLoops,
                        address.host(),
                        address.port(),
                        new WorkerHandler(worker),
                        mCounters,
                        new Random());
        mLinks.put(worker, new WorkerLink(text, client));
    }

    void send(WorkerId worker, WorkerMessage message) {
        WorkerLink link = mLinks.get(worker);
        if (link != null) {
            link.client().send(message);
        }
    }

    void close() {
        mLinks.values().forEach(link -> link.client().close());
        mLinks.clear();
    }

    private final class WorkerHandler implements LinkHandler {
        private final WorkerId mWorker;

        WorkerHandler(WorkerId worker) {
            mWorker = worker;
        }

        @Override
        public void onOpen(Link link) {
            mRing.offerBlocking(new ControlEvent.WorkerLinkOpened(mWorker, link));
        }

        @Override
        public void onMessage(Link link, Message message) {
            if (message instanceof WorkerMessage workerMessage) {
                mRing.offerOrDrop(new ControlEvent.WorkerSent(mWorker, link, workerMessage));
            }
        }

        @Override
        public void onClosed(Link link) {
            mRing.offerBlocking(new ControlEvent.WorkerLinkClosed(mWorker, link));
        }
    }
}
