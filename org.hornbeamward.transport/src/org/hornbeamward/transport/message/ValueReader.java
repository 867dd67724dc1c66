package org.hornbeamward.transport.message;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.hornbeamward.errors.MalformedId;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.RegionId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.lib.WorkerId;
import org.msgpack.core.MessageUnpacker;

/** Reads the values that several messages share. */
class ValueReader {
    final MessageUnpacker mUnpacker;
    private final int mSizeBytes;

    ValueReader(MessageUnpacker unpacker, int sizeBytes) {
        mUnpacker = unpacker;
        mSizeBytes = sizeBytes;
    }

    /** Reads one element. */
    interface Element<T> {
        T read() throws IOException, MalformedMessageException;
    }

    final long number() throws IOException {
        return mUnpacker.unpackLong();
    }

    final int integer() throws IOException {
        return mUnpacker.unpackInt();
    }

    final boolean flag() throws IOException {
        return mUnpacker.unpackBoolean();
    }

    final String text() throws IOException {
        return mUnpacker.unpackString();
    }

    final <T> T constant(T[] constants) throws IOException, MalformedMessageException {
        int ordinal = integer();
        if (ordinal < 0 || ordinal >= constants.length) {
            throw new MalformedMessageException("constant number " + ordinal + " is unknown");
        }
        return constants[ordinal];
    }

    final <T> List<T> list(Element<T> element) throws IOException, MalformedMessageException {
        int count = checkedSize(mUnpacker.unpackArrayHeader());
        List<T> elements = new ArrayList<>(count);
        for (int index = 0; index < count; index++) {
            elements.add(element.read());
        }
        return elements;
    }

    /** Refuses a size beyond the frame before anything of that size is allocated. */
    final int checkedSize(int size) throws MalformedMessageException {
        if (size > mSizeBytes) {
            throw new MalformedMessageException(
                    "announces " + size + " elements in " + mSizeBytes + " bytes");
        }
        return size;
    }

    final InstanceId instance() throws IOException, MalformedMessageException {
        return id(InstanceId.parse(text()));
    }

    final WorkerId worker() throws IOException, MalformedMessageException {
        return id(WorkerId.parse(text()));
    }

    final FailureDomainId failureDomain() throws IOException, MalformedMessageException {
        return id(FailureDomainId.parse(text()));
    }

    final RegionId region() throws IOException, MalformedMessageException {
        return id(RegionId.parse(text()));
    }

    final TaskId task() throws IOException, MalformedMessageException {
        JobId job = id(JobId.parse(text()));
        int index = integer();
        if (index < 0) {
            throw new MalformedMessageException("task index " + index + " is below 0");
        }
        return new TaskId(job, index);
    }

    final Resources resources() throws IOException {
        return new Resources(number(), number(), integer());
    }

    private static <T> T id(Either<MalformedId, T> parsed) throws MalformedMessageException {
        if (parsed.isLeft()) {
            throw new MalformedMessageException(parsed.getLeft().message());
        }
        return parsed.get();
    }
}
