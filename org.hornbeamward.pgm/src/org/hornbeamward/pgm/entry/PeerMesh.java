package org.hornbeamward.pgm.entry;

import io.netty.channel.EventLoopGroup;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Random;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.pgm.settings.HostPort;
import org.hornbeamward.state.Member;
import org.hornbeamward.state.MemberTable;
import org.hornbeamward.transport.link.Link;
import org.hornbeamward.transport.link.LinkClient;
import org.hornbeamward.transport.link.LinkCounters;
import org.hornbeamward.transport.link.LinkHandler;
import org.hornbeamward.transport.message.Message;
import org.hornbeamward.transport.message.PeerMessage;

/** Links to the other members, one in each direction. Confined to the control duty. */
final class PeerMesh {
    private final InstanceId mOwn;
    private final EventLoopGroup mLoops;
    private final ControlRing mRing;
    private final LinkCounters mCounters;
    private final Map<InstanceId, PeerLink> mLinks = new HashMap<>();

    private record PeerLink(long incarnation, LinkClient client) {}

    PeerMesh(InstanceId own, EventLoopGroup loops, ControlRing ring, LinkCounters counters) {
        mOwn = own;
        mLoops = loops;
        mRing = ring;
        mCounters = counters;
    }

    /** Returns a handler that queues peer messages for the control duty. */
    static LinkHandler handler(ControlRing ring) {
        return new LinkHandler() {
            @Override
            public void onMessage(Link link, Message message) {
                if (message instanceof PeerMessage peerMessage) {
                    ring.offerOrDrop(new ControlEvent.PeerSent(link, peerMessage));
                }
            }
        };
    }

    /** Opens links to new members and closes those to former members. */
    void update(MemberTable members) {
        Iterator<Map.Entry<InstanceId, PeerLink>> links = mLinks.entrySet().iterator();
        while (links.hasNext()) {
            Map.Entry<InstanceId, PeerLink> link = links.next();
            if (members.find(link.getKey(), link.getValue().incarnation()).isEmpty()) {
                link.getValue().client().close();
                links.remove();
            }
        }
        for (Member member : members.all().values()) {
            if (member.instance().equals(mOwn) || mLinks.containsKey(member.instance())) {
                continue;
            }
            HostPort.parse(member.join().peerAddress())
                    .forEach(
                            address ->
                                    mLinks.put(
                                            member.instance(),
                                            new PeerLink(member.incarnation(), connect(address))));
        }
    }

    private LinkClient connect(HostPort address) {
        return new LinkClient(
                mLoops, address.host(), address.port(), handler(mRing), mCounters, new Random());
    }

    void broadcast(Message message) {
        mLinks.values().forEach(link -> link.client().send(message));
    }

    /** Sends to one member. Returns whether the message was queued. */
    boolean send(InstanceId instance, Message message) {
        PeerLink link = mLinks.get(instance);
        return link != null && link.client().send(message).isRight();
    }

    void close() {
        mLinks.values().forEach(link -> link.client().close());
        mLinks.clear();
    }
}
