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

/** An event that another thread queues for the control duty. */
sealed interface ControlEvent {
    /** The follower of the control stream reported a record, the end of the stream or a failure. */
    record LogFollowed(FollowEvent event) implements ControlEvent {}

    /** A state was loaded; it replaces the current one. */
    record StateLoaded(ClusterState state, ClaimTable claims) implements ControlEvent {}

    /** The link to a worker was opened. */
    record WorkerLinkOpened(WorkerId worker, Link link) implements ControlEvent {}

    /** The link to a worker was closed. */
    record WorkerLinkClosed(WorkerId worker, Link link) implements ControlEvent {}

    /** A worker sent a message. */
    record WorkerSent(WorkerId worker, Link link, WorkerMessage message) implements ControlEvent {}

    /** Another member sent a message over a link that either side opened. */
    record PeerSent(Link link, PeerMessage message) implements ControlEvent {}

    /** The platform's instance list has changed. */
    record ListChanged(InstanceList list) implements ControlEvent {}

    /** An action to run on the control duty's thread, which owns the state. */
    record RunAction(Consumer<ControlDuty> action) implements ControlEvent {}
}
