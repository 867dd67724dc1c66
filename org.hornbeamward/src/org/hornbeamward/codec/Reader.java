package org.hornbeamward.codec;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.MalformedId;
import org.hornbeamward.lib.EndpointId;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.RegionId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.lib.TeamId;
import org.hornbeamward.lib.WorkerId;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads positional MessagePack values. Every method throws {@link MalformedInputException} if the
 * next value is of another type, too long or missing. Not thread-safe.
 */
public final class Reader {
    /** Maximum length of a text in bytes. */
    public static final int MAX_TEXT_BYTES = 64 * 1024;

    private final byte[] mBytes;
    private final MessageUnpacker mUnpacker;

    /**
     * Creates a reader positioned at the first byte.
     *
     * @param bytes the encoded values
     */
    public Reader(byte[] bytes) {
        mBytes = bytes;
        mUnpacker = MessagePack.newDefaultUnpacker(bytes);
    }

    /** Thrown if the input cannot be decoded; the message states the problem and the position. */
    public static final class MalformedInputException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        /**
         * Creates the exception.
         *
         * @param message the problem and its position in the input
         */
        public MalformedInputException(String message) {
            super(message);
        }
    }

    /**
     * Reads an array header.
     *
     * @return number of elements, at most the number of remaining bytes
     */
    public int array() {
        int size = read(mUnpacker::unpackArrayHeader);
        if (size > remainingBytes()) {
            throw malformed("array of " + size + " elements is longer than the input");
        }
        return size;
    }

    /**
     * Reads an array header and checks the size.
     *
     * @param expectedSize the only accepted size
     */
    public void array(int expectedSize) {
        int size = array();
        if (size != expectedSize) {
            throw malformed("array of " + size + " elements instead of " + expectedSize);
        }
    }

    /**
     * Reads an integer.
     *
     * @return the value
     */
    public long integer() {
        return read(mUnpacker::unpackLong);
    }

    /**
     * Reads a 32-bit integer.
     *
     * @return the value
     */
    public int int32() {
        return read(mUnpacker::unpackInt);
    }

    /**
     * Reads a floating point number.
     *
     * @return the value
     */
    public double number() {
        return read(mUnpacker::unpackDouble);
    }

    /**
     * Reads a boolean.
     *
     * @return the value
     */
    public boolean bool() {
        return read(mUnpacker::unpackBoolean);
    }

    /**
     * Reads a text.
     *
     * @return the text
     */
    public String text() {
        int length = read(mUnpacker::unpackRawStringHeader);
        if (length > MAX_TEXT_BYTES || length > remainingBytes()) {
            throw malformed("text of " + length + " bytes is too long");
        }
        return new String(read(() -> mUnpacker.readPayload(length)), StandardCharsets.UTF_8);
    }

    /**
     * Reads binary data.
     *
     * @return the bytes
     */
    public byte[] bytes() {
        int length = read(mUnpacker::unpackBinaryHeader);
        if (length > remainingBytes()) {
            throw malformed("value of " + length + " bytes is longer than the input");
        }
        return read(() -> mUnpacker.readPayload(length));
    }

    /**
     * Reads an enum constant by its ordinal.
     *
     * @param values all constants in declaration order
     * @param <E> the enum type
     * @return the constant
     */
    public <E> E constant(E[] values) {
        int ordinal = int32();
        if (ordinal < 0 || ordinal >= values.length) {
            throw malformed("constant " + ordinal + " is unknown");
        }
        return values[ordinal];
    }

    /**
     * Reads an instance id.
     *
     * @return the id
     */
    public InstanceId instance() {
        return id(InstanceId.parse(text()));
    }

    /**
     * Reads a failure domain id.
     *
     * @return the id
     */
    public FailureDomainId failureDomain() {
        return id(FailureDomainId.parse(text()));
    }

    /**
     * Reads a region id.
     *
     * @return the id
     */
    public RegionId region() {
        return id(RegionId.parse(text()));
    }

    /**
     * Reads a worker id.
     *
     * @return the id
     */
    public WorkerId worker() {
        return id(WorkerId.parse(text()));
    }

    /**
     * Reads an endpoint id.
     *
     * @return the id
     */
    public EndpointId endpoint() {
        return id(EndpointId.parse(text()));
    }

    /**
     * Reads a team id.
     *
     * @return the id
     */
    public TeamId team() {
        return id(TeamId.parse(text()));
    }

    /**
     * Reads a job id.
     *
     * @return the id
     */
    public JobId job() {
        return id(JobId.parse(text()));
    }

    /**
     * Reads a task id.
     *
     * @return the id
     */
    public TaskId task() {
        JobId job = job();
        int index = int32();
        if (index < 0) {
            throw malformed("task index " + index + " is negative");
        }
        return new TaskId(job, index);
    }

    /**
     * Reads an amount of resources as three integers.
     *
     * @return the amount
     */
    public Resources resources() {
        return new Resources(integer(), integer(), int32());
    }

    /**
     * Returns whether a further value follows.
     *
     * @return false at the end of the input
     */
    public boolean hasNext() {
        return remainingBytes() > 0;
    }

    /** Checks that no bytes remain. */
    public void end() {
        if (remainingBytes() != 0) {
            throw malformed(remainingBytes() + " bytes follow the last value");
        }
    }

    /**
     * Creates the exception for a value that was decoded but is invalid.
     *
     * @param detail what is wrong
     * @return the exception to throw
     */
    public MalformedInputException malformed(String detail) {
        return new MalformedInputException(
                detail + " at byte " + mUnpacker.getTotalReadBytes() + " of " + mBytes.length);
    }

    private long remainingBytes() {
        return mBytes.length - mUnpacker.getTotalReadBytes();
    }

    private <T> T id(Either<MalformedId, T> parsed) {
        return parsed.getOrElseThrow((HornbeamwardError problem) -> malformed(problem.message()));
    }

    private <T> T read(UnpackerStep<T> step) {
        try {
            return step.run();
        } catch (IOException | MessagePackException e) {
            throw malformed("unexpected value: " + e.getClass().getSimpleName());
        }
    }

    private interface UnpackerStep<T> {
        T run() throws IOException;
    }
}
