package org.hornbeamward.command;

import java.util.List;
import org.hornbeamward.lib.InstanceId;

/**
 * The commands of one log record.
 *
 * @param author instance that wrote the record
 * @param authorIncarnation its incarnation
 * @param sequence 1, 2, 3 and so on per incarnation; a batch out of sequence is ignored
 * @param authorWallMillis the author's wall clock, used for the month of review figures only
 * @param commands at least one and at most {@link #MAX_COMMANDS}
 */
public record CommandBatch(
        InstanceId author,
        long authorIncarnation,
        long sequence,
        long authorWallMillis,
        List<Command> commands) {
    /** Most commands in one batch; the fencing token has 10 bits for the position. */
    public static final int MAX_COMMANDS = 1024;

    /** Largest encoded batch in bytes. */
    public static final int MAX_BYTES = 256 * 1024;

    /** Copies the list of commands. */
    public CommandBatch {
        commands = List.copyOf(commands);
    }
}
