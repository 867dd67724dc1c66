package org.hornbeamward.pgm.entry;

import java.util.function.Consumer;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.route.claim.ClaimTable;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.storage.list.InstanceList;
import org.hornbeamward.storage.log.FollowEvent;
import org.hornbeamward.transport.link.Link;
import org.hornbeamward.transport.message.PeerMessage;
import org.hornbeamward.transport.message.WorkerMessage;

/** What other threads hand to the control duty. */
sealed interface ControlEvent {
    /** Something was read from the control stream. */
    record LogFollowed(FollowEvent event) implements ControlEvent {}

    /** A state was loaded and replaces the current one. */
    record StateLoaded(ClusterState state, ClaimTable claims) implements ControlEvent {}

    /** The link to a worker was made. */
    record WorkerLinkOpened(WorkerId worker, Link link) implements ControlEvent {}

    /** The link to a worker has ended. */
    record WorkerLinkClosed(WorkerId worker, Link link) implements ControlEvent {}

    /** A worker sent a message. */
    record WorkerSent(WorkerId worker, Link link, WorkerMessage message) implements ControlEvent {}

    /** Another member sent a message over a link that it or this process made. */
    record PeerSent(Link link, PeerMessage message) implements ControlEvent {}

    /** The platform's list has changed. */
    record ListChanged(InstanceList list) implements ControlEvent {}

    /** Something is to be done with the state by the thread that owns it. */
    record Task(Consumer<ControlDuty> action) implements ControlEvent {}
}
