package org.hornbeamward.pgm.test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import org.hornbeamward.command.CancelJob;
import org.hornbeamward.command.PublishConfig;
import org.hornbeamward.command.SubmitJob;
import org.hornbeamward.errors.LogUnavailable;
import org.hornbeamward.errors.RequestOutcomeUnknown;
import org.hornbeamward.pgm.admin.AdminServer;
import org.hornbeamward.pgm.cli.ExitCodes;
import org.hornbeamward.pgm.settings.HostPort;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CliTest {
    private static final String POLICY =
            "{/* kept in version control */\"policy\":" + "{\"placementPolicy\":\"best-fit\"}}";

    private final FakeBackend mBackend = new FakeBackend();
    private AdminServer mServer;
    private String mAdmin;
    @TempDir private Path mDirectory;

    @BeforeEach
    void start() throws InterruptedException {
        mServer = new AdminServer(new HostPort("127.0.0.1", 0), mBackend, new PrometheusRegistry());
        mAdmin = "--admin=127.0.0.1:" + mServer.port();
        mBackend.configure("domain/east", "{\"region\":\"here\"}");
    }

    @AfterEach
    void stop() {
        mServer.close();
    }

    /**
     * Guards against exit codes that mislead scripts, above all "not done" for an unknown outcome.
     */
    @Test
    void exitCodesTellOutcomesApart() {
        assertEquals(ExitCodes.DONE, CliRun.of("domain", "list", mAdmin).exitCode());
        assertEquals(ExitCodes.REFUSED, CliRun.of("job", "cancel", "no", mAdmin).exitCode());
        assertEquals(ExitCodes.BAD_INPUT, CliRun.of("domain", "out", "est", mAdmin).exitCode());
        assertEquals(ExitCodes.BAD_INPUT, CliRun.of("domain", "up", mAdmin).exitCode());
        assertEquals(ExitCodes.BAD_INPUT, CliRun.of("state", "--admin=nowhere").exitCode());
        assertEquals(ExitCodes.BAD_INPUT, CliRun.of("job", "show", "a b", mAdmin).exitCode());
        assertEquals(
                ExitCodes.VERSION_CONFLICT,
                CliRun.of("domain", "out", "east", "--base-version=7", mAdmin).exitCode());
        mBackend.mForcedError = new LogUnavailable("append");
        assertEquals(ExitCodes.UNREACHABLE, CliRun.of("job", "cancel", "no", mAdmin).exitCode());
        mBackend.mForcedError = new RequestOutcomeUnknown("no answer");
        CliRun unknown = CliRun.of("job", "cancel", "no", "--command-id=c-7", mAdmin);
        assertEquals(ExitCodes.OUTCOME_UNKNOWN, unknown.exitCode());
        assertTrue(unknown.err().contains("--command-id c-7"), unknown.err());
    }

    /** Guards against a lost response to a command that is reported as "nothing changed". */
    @Test
    void lostAnswerOfCommandIsUnknownAndNextAddressGetsTheSameCommandId() throws Exception {
        try (ServerSocket droppingServer =
                new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            Thread dropper = Thread.ofVirtual().start(() -> dropConnections(droppingServer));
            String admin = "--admin=127.0.0.1:" + droppingServer.getLocalPort();
            assertEquals(
                    ExitCodes.OUTCOME_UNKNOWN, CliRun.of("job", "cancel", "no", admin).exitCode());
            assertEquals(ExitCodes.UNREACHABLE, CliRun.of("member", "list", admin).exitCode());
            CliRun second = CliRun.of("job", "cancel", "no", "--command-id=c-8", admin, mAdmin);
            assertEquals(ExitCodes.REFUSED, second.exitCode());
            CancelJob sent = (CancelJob) mBackend.mCommands.get(mBackend.mCommands.size() - 1);
            assertEquals("c-8", sent.commandId());
            droppingServer.close();
            dropper.join();
        }
    }

    /** Guards against publishing unchanged entries, or changes against another base version. */
    @Test
    void publishSendsOnlyChangedEntriesAgainstTheVersionInForce() throws IOException {
        Path file = mDirectory.resolve("config.json");
        Files.writeString(file, POLICY);
        long base = mBackend.mState.config().version();
        CliRun diff = CliRun.of("config", "diff", file.toString(), mAdmin);
        assertTrue(diff.out().contains("- domain/east"), diff.out());
        CliRun run = CliRun.of("config", "publish", "--partial", mDirectory.toString(), mAdmin);
        assertEquals(ExitCodes.DONE, run.exitCode(), run.err());
        PublishConfig sent = (PublishConfig) mBackend.mCommands.get(mBackend.mCommands.size() - 1);
        assertEquals(base, sent.baseVersion());
        assertEquals(java.util.Set.of("policy"), sent.changedEntries().keySet());
        int count = mBackend.mCommands.size();
        assertEquals(
                ExitCodes.DONE,
                CliRun.of("config", "publish", "--partial", file.toString(), mAdmin).exitCode());
        assertEquals(count, mBackend.mCommands.size());
        assertTrue(CliRun.of("config", "history", mAdmin).out().contains("policy"));
    }

    /** Guards against invalid declarations that reach the log. */
    @Test
    void wrongDeclarationsAreBadInput() throws IOException {
        for (String text :
                new String[] {
                    "",
                    "[]",
                    "{\"colour\":{}}",
                    "{\"policy\":1}",
                    "{\"service/loan\":{\"agreedPeriodMillis\":\"x\"}}",
                    "{\"endpoint/a\":{\"service\":\"s\",\"failureDomain\":\"d\","
                            + "\"address\":\"h:1\",\"slotCount\":8,\"connectionCount\":64}}"
                }) {
            Path file = mDirectory.resolve("config.json");
            Files.writeString(file, text);
            CliRun run = CliRun.of("config", "validate", file.toString());
            assertEquals(ExitCodes.BAD_INPUT, run.exitCode(), text);
        }
        CliRun missing = CliRun.of("config", "validate", mDirectory + "/none.json");
        assertEquals(ExitCodes.BAD_INPUT, missing.exitCode());
        assertTrue(missing.err().contains("cannot be read"), missing.err());
    }

    /** Guards against a generated jobs file that cannot be submitted. */
    @Test
    void generatedJobsAreSubmitted() throws IOException {
        String answers = "../deployments/tiny.json";
        String out = mDirectory.resolve("generated").toString();
        CliRun run = CliRun.of("questionnaire", "--answers", answers, "--out", out);
        assertEquals(ExitCodes.DONE, run.exitCode(), run.err());
        CliRun publish = CliRun.of("config", "publish", out + "/config.json", mAdmin);
        assertEquals(ExitCodes.DONE, publish.exitCode(), publish.err());
        CliRun submit = CliRun.of("job", "submit", out + "/jobs.json", mAdmin);
        assertEquals(ExitCodes.DONE, submit.exitCode(), submit.err());
        SubmitJob last = (SubmitJob) mBackend.mCommands.get(mBackend.mCommands.size() - 1);
        assertEquals(4, last.job().taskCount());
        CliRun show = CliRun.of("job", "show", "count", mAdmin);
        assertTrue(show.out().contains("no worker is registered"), show.out());
        assertTrue(
                CliRun.of("job", "list", "--json", mAdmin).out().contains("\"pendingCount\" : 4"));
    }

    private static void dropConnections(ServerSocket server) {
        while (!server.isClosed()) {
            try (Socket connection = server.accept()) {
                if (connection.getInputStream().read(new byte[64]) < 0) {
                    continue;
                }
            } catch (IOException e) {
                return;
            }
        }
    }
}
