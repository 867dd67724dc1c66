package org.hornbeamward.codec;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.CommandBatch;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.MalformedRecord;
import org.hornbeamward.errors.OversizedInput;
import org.hornbeamward.lib.InstanceId;

/**
 * Encodes and decodes command batches: {@code [version, author, incarnation, sequence, wall millis,
 * [command...]]} where a command is {@code [tag, fields...]}.
 */
public final class BatchCodec {
    private static final int FORMAT_VERSION = 1;
    private static final int BATCH_FIELD_COUNT = 6;

    private BatchCodec() {}

    /**
     * Encodes a batch.
     *
     * @param batch the batch
     * @return the record
     */
    public static byte[] encode(CommandBatch batch) {
        Writer out = new Writer();
        out.array(BATCH_FIELD_COUNT)
                .integer(FORMAT_VERSION)
                .text(batch.author())
                .integer(batch.authorIncarnation())
                .integer(batch.sequence())
                .integer(batch.authorWallMillis());
        out.list(batch.commands(), command -> CommandWriter.write(out, command));
        return out.toBytes();
    }

    /**
     * Decodes a record.
     *
     * @param place stream and offset of the record, used in error messages
     * @param record the record
     * @return the batch, or an error that states the place and what was found
     */
    public static Either<HornbeamwardError, CommandBatch> decode(String place, byte[] record) {
        if (record.length > CommandBatch.MAX_BYTES) {
            return Either.left(
                    new OversizedInput(
                            "record at " + place, record.length, CommandBatch.MAX_BYTES));
        }
        Reader in = new Reader(record);
        try {
            return Either.right(read(in));
        } catch (Reader.MalformedInputException e) {
            return Either.left(new MalformedRecord(place, String.valueOf(e.getMessage())));
        }
    }

    private static CommandBatch read(Reader in) {
        in.array(BATCH_FIELD_COUNT);
        long version = in.integer();
        if (version != FORMAT_VERSION) {
            throw in.malformed("format version " + version + " instead of " + FORMAT_VERSION);
        }
        InstanceId author = in.instance();
        long incarnation = in.integer();
        long sequence = in.integer();
        long wallMillis = in.integer();
        int count = in.array();
        if (count < 1 || count > CommandBatch.MAX_COMMANDS) {
            throw in.malformed("batch of " + count + " commands");
        }
        List<Command> commands = new ArrayList<>(count);
        for (int index = 0; index < count; index++) {
            commands.add(CommandReader.read(in));
        }
        in.end();
        return new CommandBatch(author, incarnation, sequence, wallMillis, commands);
    }
}
