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

/** Decodes the value types that messages consist of. */
class ValueReader {
    final MessageUnpacker mUnpacker;
    private final int mFrameBytes;

    ValueReader(MessageUnpacker unpacker, int frameBytes) {
        mUnpacker = unpacker;
        mFrameBytes = frameBytes;
    }

    /** Decodes one element of a list. */
    interface Element<T> {
        T read() throws IOException, MalformedMessageException;
    }

    final long longValue() throws IOException {
        return mUnpacker.unpackLong();
    }

    final int intValue() throws IOException {
        return mUnpacker.unpackInt();
    }

    final boolean flag() throws IOException {
        return mUnpacker.unpackBoolean();
    }

    final String text() throws IOException {
        return mUnpacker.unpackString();
    }

    final <T> T constant(T[] constants) throws IOException, MalformedMessageException {
        int ordinal = intValue();
        if (ordinal < 0 || ordinal >= constants.length) {
            throw new MalformedMessageException("unknown enum ordinal " + ordinal);
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

    /** Rejects a size larger than the frame before anything of that size is allocated. */
    final int checkedSize(int size) throws MalformedMessageException {
        if (size > mFrameBytes) {
            throw new MalformedMessageException(
                    "declared size " + size + " exceeds the frame of " + mFrameBytes + " bytes");
        }
        return size;
    }

    final InstanceId instance() throws IOException, MalformedMessageException {
        return requireValid(InstanceId.parse(text()));
    }

    final WorkerId worker() throws IOException, MalformedMessageException {
        return requireValid(WorkerId.parse(text()));
    }

    final FailureDomainId failureDomain() throws IOException, MalformedMessageException {
        return requireValid(FailureDomainId.parse(text()));
    }

    final RegionId region() throws IOException, MalformedMessageException {
        return requireValid(RegionId.parse(text()));
    }

    final TaskId task() throws IOException, MalformedMessageException {
        JobId job = requireValid(JobId.parse(text()));
        int index = intValue();
        if (index < 0) {
            throw new MalformedMessageException("negative task index " + index);
        }
        return new TaskId(job, index);
    }

    final Resources resources() throws IOException {
        return new Resources(longValue(), longValue(), intValue());
    }

    private static <T> T requireValid(Either<MalformedId, T> parsed)
            throws MalformedMessageException {
        if (parsed.isLeft()) {
            throw new MalformedMessageException(parsed.getLeft().message());
        }
        return parsed.get();
    }
}
