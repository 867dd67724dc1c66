package org.hornbeamward.errors;

/**
 * A read at an offset before the oldest retained record.
 *
 * @param stream the stream
 * @param fromOffset the requested offset
 * @param earliestOffset the oldest offset that can be read
 */
public record LogRetentionPassed(String stream, long fromOffset, long earliestOffset)
        implements HornbeamwardError {

    @Override
    public String message() {
        return stream
                + " no longer has offset "
                + fromOffset
                + "; load a snapshot at or after "
                + earliestOffset;
    }
}
