package org.hornbeamward.errors;

import java.util.List;
import java.util.stream.Collectors;

/**
 * A stream of snapshots without a valid one that is not before retention.
 *
 * @param earliestControlOffset the oldest control offset that would do
 * @param earliestRequestsOffset the oldest requests offset that would do
 * @param ignored why each snapshot that was found is not used, possibly empty
 */
public record NoUsableSnapshot(
        long earliestControlOffset, long earliestRequestsOffset, List<HornbeamwardError> ignored)
        implements HornbeamwardError {

    /** Copies the list. */
    public NoUsableSnapshot {
        ignored = List.copyOf(ignored);
    }

    @Override
    public String message() {
        return "no usable snapshot at or after control offset "
                + earliestControlOffset
                + " and requests offset "
                + earliestRequestsOffset
                + "; a member must publish one; ignored: "
                + ignored.stream()
                        .map(HornbeamwardError::message)
                        .collect(Collectors.joining("; ", "[", "]"));
    }
}
