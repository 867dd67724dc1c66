package org.hornbeamward.standin.log;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.hornbeamward.kernel.Kernel;
import org.hornbeamward.lib.JitteredBackoff;
import org.hornbeamward.lib.MonotonicClock;
import org.hornbeamward.standin.proxy.ProxyStandIn;
import org.hornbeamward.storage.log.BatchAppender;
import org.hornbeamward.storage.log.HttpLogClient;
import org.hornbeamward.storage.log.StreamFollower;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Measures batches that each instance appends through a {@link BatchAppender} and reads through a
 * {@link StreamFollower}, against the log stand-in in the same process. All HTTP traffic passes a
 * proxy that counts the bytes. Commands are opaque bytes of a fixed size, offered at random times
 * drawn from the seed.
 */
@Command(
        name = "measure-appends",
        mixinStandardHelpOptions = true,
        description = "Measures batches and bytes per appended command; prints JSON.")
public final class MeasureAppendsMain implements Callable<Integer> {
    private static final int MAX_QUEUED_COUNT = 65_536;
    private static final int REQUEST_TIMEOUT_MILLIS = 2_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    @Option(names = "--instances", defaultValue = "8", description = "Appending instances.")
    private int mInstanceCount;

    @Option(names = "--rate", defaultValue = "46", description = "Commands a second in all.")
    private int mCommandsPerSecond;

    @Option(names = "--command-bytes", defaultValue = "100", description = "Size of a command.")
    private int mCommandBytes;

    @Option(names = "--group-millis", defaultValue = "20", description = "Collecting time.")
    private int mGroupMillis;

    @Option(names = "--read-interval-millis", defaultValue = "0", description = "See follower.")
    private int mReadIntervalMillis;

    @Option(names = "--seconds", defaultValue = "10", description = "Length of the run.")
    private int mSeconds;

    @Option(names = "--seed", defaultValue = "1", description = "Seed of the arrival times.")
    private long mSeed;

    private final List<BatchAppender<byte[]>> mAppenders = new ArrayList<>();
    private final List<StreamFollower> mFollowers = new ArrayList<>();

    /** Creates the command; picocli fills its options. */
    public MeasureAppendsMain() {}

    /**
     * Starts the program.
     *
     * @param arguments options as listed by {@code --help}
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new MeasureAppendsMain()).execute(arguments));
    }

    @Override
    public Integer call() throws InterruptedException {
        try (LogStandIn log = new LogStandIn(0);
                ProxyStandIn proxy = new ProxyStandIn(0, 0, new InetSocketAddress(log.port()));
                HttpLogClient client =
                        new HttpLogClient("127.0.0.1", proxy.port(), REQUEST_TIMEOUT_MILLIS);
                Kernel kernel = new Kernel()) {
            SplittableRandom random = new SplittableRandom(mSeed);
            for (int i = 0; i < mInstanceCount; i++) {
                addInstance(client, kernel, random.split());
            }
            long startedNanos = System.nanoTime();
            long[] counts = offerCommands(random, startedNanos);
            while (mAppenders.stream().anyMatch(appender -> appender.queueDepth() > 0)) {
                Thread.sleep(1);
            }
            long elapsedNanos = System.nanoTime() - startedNanos;
            System.out.println(report(counts, elapsedNanos, proxy.receivedBytes()));
        }
        return 0;
    }

    private void addInstance(HttpLogClient client, Kernel kernel, SplittableRandom random) {
        BatchAppender<byte[]> appender =
                new BatchAppender<>(
                        client,
                        "control",
                        MAX_QUEUED_COUNT,
                        mGroupMillis,
                        MeasureAppendsMain::encode,
                        (command, error) -> System.err.println(error.message()),
                        new JitteredBackoff(random, 250, 8_000),
                        MonotonicClock.SYSTEM);
        StreamFollower follower =
                new StreamFollower(
                        client,
                        "control",
                        0,
                        event -> Either.right(null),
                        new JitteredBackoff(random.split(), 250, 8_000),
                        MonotonicClock.SYSTEM,
                        mReadIntervalMillis);
        mAppenders.add(appender);
        mFollowers.add(follower);
        kernel.start(appender);
        kernel.start(follower);
    }

    /**
     * Offers commands with exponentially distributed gaps. Returns the number of accepted commands
     * and the number of refused ones.
     */
    private long[] offerCommands(SplittableRandom random, long startedNanos) {
        byte[] command = new byte[mCommandBytes];
        long[] counts = new long[2];
        long durationNanos = TimeUnit.SECONDS.toNanos(mSeconds);
        double dueNanos = 0;
        while (true) {
            dueNanos += -Math.log(1 - random.nextDouble()) * 1e9 / mCommandsPerSecond;
            if (dueNanos >= durationNanos) {
                return counts;
            }
            long waitNanos = startedNanos + (long) dueNanos - System.nanoTime();
            while (waitNanos > 0) {
                LockSupport.parkNanos(waitNanos);
                waitNanos = startedNanos + (long) dueNanos - System.nanoTime();
            }
            int instance = random.nextInt(mInstanceCount);
            counts[mAppenders.get(instance).offer(command).isRight() ? 0 : 1]++;
        }
    }

    private String report(long[] counts, long elapsedNanos, long wireBytes) {
        double seconds = elapsedNanos / 1e9;
        long batches = mAppenders.stream().mapToLong(BatchAppender::batchCount).sum();
        long bytes = mAppenders.stream().mapToLong(BatchAppender::byteCount).sum();
        ObjectNode report = JSON.createObjectNode();
        report.put("instances", mInstanceCount);
        report.put("seed", mSeed);
        report.put("readIntervalMillis", mReadIntervalMillis);
        report.put("seconds", seconds);
        report.put("commands", counts[0]);
        report.put("refused", counts[1]);
        report.put("appendsPerSecond", batches / seconds);
        report.put("commandsPerSecond", counts[0] / seconds);
        report.put("recordsPerCommand", (double) batches / Math.max(1, counts[0]));
        report.put("recordBytesPerCommand", (double) bytes / Math.max(1, counts[0]));
        report.put("httpBytesPerInstanceAndSecond", wireBytes / seconds / mInstanceCount);
        report.put("resends", mAppenders.stream().mapToLong(BatchAppender::resendCount).sum());
        report.put(
                "recordsReadByAll",
                mFollowers.stream().mapToLong(StreamFollower::recordCount).sum());
        return report.toPrettyString();
    }

    /** Encodes a batch with the header fields of section 3.2 of the design. */
    private static byte[] encode(long sequence, List<byte[]> commands) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(6);
            packer.packInt(1);
            packer.packString("kigali-1-entry-1");
            packer.packLong(1_780_000_000_000L);
            packer.packLong(sequence);
            packer.packLong(System.currentTimeMillis());
            packer.packArrayHeader(commands.size());
            for (byte[] command : commands) {
                packer.packBinaryHeader(command.length);
                packer.writePayload(command);
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
