package org.hornbeamward.transport.message;

import java.io.IOException;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.TaskId;
import org.msgpack.core.MessagePacker;

/** Encodes the value types that messages consist of. */
class ValueWriter {
    final MessagePacker mPacker;

    ValueWriter(MessagePacker packer) {
        mPacker = packer;
    }

    final void longs(long... values) throws IOException {
        for (long value : values) {
            mPacker.packLong(value);
        }
    }

    final void text(String value) throws IOException {
        mPacker.packString(value);
    }

    final void task(TaskId task) throws IOException {
        text(task.job().value());
        longs(task.index());
    }

    final void resources(Resources resources) throws IOException {
        longs(resources.cpuMillicores(), resources.memoryMib(), resources.acceleratorCount());
    }

    final void sample(UsageSample sample) throws IOException {
        longs(
                sample.token(),
                sample.cpuMillicores(),
                sample.memoryMib(),
                sample.latencyPermille(),
                sample.throttlePercent());
    }
}
