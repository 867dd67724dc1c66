package org.hornbeamward.storage.list;

import java.util.List;

/**
 * One version of the platform's instance list. Immutable.
 *
 * @param version version number, which increases with each change
 * @param entries the instances
 */
public record InstanceList(long version, List<InstanceEntry> entries) {

    /** Copies the list of entries. */
    public InstanceList {
        entries = List.copyOf(entries);
    }

    /**
     * Returns the entries of one kind.
     *
     * @param kind the kind
     * @return its entries in the order of the list
     */
    public List<InstanceEntry> ofKind(InstanceKind kind) {
        return entries.stream().filter(entry -> entry.kind() == kind).toList();
    }

    /**
     * Returns whether an instance is listed, in any state.
     *
     * @param id instance id
     * @return true if it is in the list
     */
    public boolean contains(String id) {
        return entries.stream().anyMatch(entry -> entry.id().equals(id));
    }
}
