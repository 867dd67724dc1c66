package org.hornbeamward.command;

import java.util.List;
import org.hornbeamward.lib.InstanceId;

/**
 * The commands of one log record.
 *
 * @param author instance that wrote the record
 * @param authorIncarnation its incarnation
 * @param sequence sequence number, consecutive from 1 per incarnation; a batch out of sequence is
 *     ignored
 * @param authorWallMillis the author's wall clock; it only determines the month that review figures
 *     count for
 * @param commands at least 1 and at most {@link #MAX_COMMANDS} commands
 */
public record CommandBatch(
        InstanceId author,
        long authorIncarnation,
        long sequence,
        long authorWallMillis,
        List<Command> commands) {
    /** Maximum number of commands in a batch; the fencing token has 10 bits for the position. */
    public static final int MAX_COMMANDS = 1024;

    /** Maximum size of an encoded batch in bytes. */
    public static final int MAX_BYTES = 256 * 1024;

    /** Copies the list of commands. */
    public CommandBatch {
        commands = List.copyOf(commands);
    }
}
