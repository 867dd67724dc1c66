package org.hornbeamward.errors;

import java.util.List;
import java.util.stream.Collectors;

/**
 * A snapshot stream without a valid snapshot that is recent enough for the retained log.
 *
 * @param earliestControlOffset the lowest control offset of a usable snapshot
 * @param earliestRequestsOffset the lowest requests offset of a usable snapshot
 * @param ignored the error of each snapshot that was found but not used, possibly empty
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
