package org.hornbeamward.codec;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Collection;
import java.util.Map;
import java.util.function.Consumer;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.TaskId;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Writes positional MessagePack values to a buffer in memory. Not thread-safe. */
public final class Writer {
    private final MessageBufferPacker mPacker = MessagePack.newDefaultBufferPacker();

    /** Creates an empty writer. */
    public Writer() {}

    /**
     * Writes an array header.
     *
     * @param size number of elements that follow
     * @return this
     */
    public Writer array(int size) {
        return write(() -> mPacker.packArrayHeader(size));
    }

    /**
     * Writes an integer in its shortest encoding.
     *
     * @param value the value
     * @return this
     */
    public Writer integer(long value) {
        return write(() -> mPacker.packLong(value));
    }

    /**
     * Writes a floating point number.
     *
     * @param value the value
     * @return this
     */
    public Writer number(double value) {
        return write(() -> mPacker.packDouble(value));
    }

    /**
     * Writes a boolean.
     *
     * @param value the value
     * @return this
     */
    public Writer bool(boolean value) {
        return write(() -> mPacker.packBoolean(value));
    }

    /**
     * Writes the text form of a value.
     *
     * @param value the value
     * @return this
     */
    public Writer text(Object value) {
        return write(() -> mPacker.packString(value.toString()));
    }

    /**
     * Writes binary data.
     *
     * @param value the bytes
     * @return this
     */
    public Writer bytes(byte[] value) {
        return write(() -> mPacker.packBinaryHeader(value.length).writePayload(value));
    }

    /**
     * Writes a task id as job and index.
     *
     * @param task the task
     * @return this
     */
    public Writer task(TaskId task) {
        return text(task.job()).integer(task.index());
    }

    /**
     * Writes an amount of resources as three integers.
     *
     * @param resources the amount
     * @return this
     */
    public Writer resources(Resources resources) {
        return integer(resources.cpuMillicores())
                .integer(resources.memoryMib())
                .integer(resources.acceleratorCount());
    }

    /**
     * Writes a collection as an array.
     *
     * @param elements the elements, written in iteration order
     * @param element writes one element as one value
     * @param <T> type of the elements
     * @return this
     */
    public <T> Writer list(Collection<T> elements, Consumer<T> element) {
        array(elements.size());
        elements.forEach(element);
        return this;
    }

    /**
     * Writes a map as an array of alternating keys and values.
     *
     * @param map the map, written in iteration order
     * @param entry writes one entry as two values
     * @param <K> type of the keys
     * @param <V> type of the values
     * @return this
     */
    public <K, V> Writer map(Map<K, V> map, Consumer<Map.Entry<K, V>> entry) {
        array(map.size() * 2);
        map.entrySet().forEach(entry);
        return this;
    }

    /**
     * Returns the encoded values.
     *
     * @return a copy of the bytes
     */
    public byte[] toBytes() {
        return mPacker.toByteArray();
    }

    private Writer write(PackerStep step) {
        try {
            step.run();
            return this;
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory failed", e);
        }
    }

    private interface PackerStep {
        void run() throws IOException;
    }
}
