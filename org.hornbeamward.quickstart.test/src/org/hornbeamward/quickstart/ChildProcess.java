package org.hornbeamward.quickstart;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Java program started by the quickstart. Its standard error, with its log, goes to a file. */
final class ChildProcess {
    private final String mName;
    private final Process mProcess;
    private final BufferedReader mOutput;
    private final Path mLogFile;

    ChildProcess(
            Path folder,
            String name,
            List<String> javaOptions,
            String mainClass,
            List<String> arguments)
            throws IOException {
        mName = name;
        mLogFile = folder.resolve(name + ".log");
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(
                List.of(
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "--sun-misc-unsafe-memory-access=allow",
                        "--enable-native-access=ALL-UNNAMED",
                        "-Dslf4j.internal.verbosity=ERROR",
                        "-cp",
                        System.getProperty("java.class.path")));
        command.addAll(javaOptions);
        command.add(mainClass);
        command.addAll(arguments);
        mProcess =
                new ProcessBuilder(command)
                        .redirectError(ProcessBuilder.Redirect.appendTo(mLogFile.toFile()))
                        .start();
        mOutput =
                new BufferedReader(
                        new InputStreamReader(mProcess.getInputStream(), StandardCharsets.UTF_8));
    }

    String name() {
        return mName;
    }

    File logFile() {
        return mLogFile.toFile();
    }

    /** Reads lines of standard output up to and including one that starts with a prefix. */
    List<String> readUntil(String prefix) throws IOException {
        List<String> lines = new ArrayList<>();
        String line = mOutput.readLine();
        while (line != null) {
            lines.add(line);
            if (line.startsWith(prefix)) {
                drainInBackground();
                return lines;
            }
            line = mOutput.readLine();
        }
        throw new IOException(mName + " ended before it was ready; see " + mLogFile);
    }

    private void drainInBackground() {
        Thread thread =
                new Thread(
                        () -> {
                            try (java.io.FileWriter out =
                                    new java.io.FileWriter(
                                            mLogFile + ".out", StandardCharsets.UTF_8)) {
                                mOutput.transferTo(out);
                            } catch (IOException e) {
                                // The process has ended; there is nothing more to read.
                                return;
                            }
                        },
                        mName + "-output");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the resident set size of the process, 0 if it cannot be read. */
    double residentMib() {
        try {
            return Files.readAllLines(Path.of("/proc/" + mProcess.pid() + "/status")).stream()
                    .filter(line -> line.startsWith("VmRSS:"))
                    .mapToDouble(line -> Double.parseDouble(line.replaceAll("[^0-9]", "")) / 1_024)
                    .findFirst()
                    .orElse(0);
        } catch (IOException e) {
            return 0;
        }
    }

    /** Returns the CPU time that the process has used so far. */
    double cpuSeconds() {
        return mProcess.info().totalCpuDuration().orElse(Duration.ZERO).toMillis() / 1_000.0;
    }

    /** Kills the process with SIGKILL. */
    void kill() {
        mProcess.destroyForcibly();
    }

    /** Sends SIGTERM to the process. */
    void terminate() {
        mProcess.destroy();
    }

    /** Waits for the process to end; returns false if it did not end in time. */
    boolean awaitEnd(long waitMillis) throws InterruptedException {
        return mProcess.waitFor(waitMillis, TimeUnit.MILLISECONDS);
    }
}
