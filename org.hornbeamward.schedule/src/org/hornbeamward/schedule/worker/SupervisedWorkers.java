package org.hornbeamward.schedule.worker;

import java.util.Collection;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.hornbeamward.command.RegisterWorker;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.member.Roles;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.Member;
import org.hornbeamward.state.WorkerStatus;

/** Selects the workers that a member keeps links to. */
final class SupervisedWorkers {
    private SupervisedWorkers() {}

    /**
     * Returns the registered workers that the member supervises and the unregistered workers that
     * it must contact first, with their addresses. An address from the platform's list takes
     * precedence over the address in a registration.
     */
    static SortedMap<WorkerId, String> of(
            InstanceId own, ClusterState state, SortedMap<WorkerId, String> addresses) {
        SortedMap<WorkerId, String> wanted = new TreeMap<>();
        Collection<Member> members = state.members().all().values();
        SortedMap<WorkerId, WorkerStatus> workers = state.work().workers();
        for (WorkerStatus worker : workers.values()) {
            RegisterWorker registration = worker.registration();
            if (Roles.supervisorOf(registration, members).equals(Optional.of(own))) {
                WorkerId id = worker.worker();
                wanted.put(id, addresses.getOrDefault(id, registration.address()));
            }
        }
        addresses.forEach(
                (id, address) -> {
                    if (!workers.containsKey(id)
                            && Roles.registrarOf(id, members).equals(Optional.of(own))) {
                        wanted.put(id, address);
                    }
                });
        return wanted;
    }
}
