package org.hornbeamward.pgm.test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.hornbeamward.errors.InvalidSetting;
import org.hornbeamward.errors.InvalidSettings;
import org.hornbeamward.errors.OversizedInput;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.pgm.settings.EntrySettings;
import org.hornbeamward.pgm.settings.HostPort;
import org.hornbeamward.pgm.settings.SettingsLoader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SettingsLoaderTest {
    private static final String REQUIRED =
            "{ // an entry instance\n"
                    + "\"instance\":\"entry-1\",\"failureDomain\":\"east\",\"region\":\"here\","
                    + "\"requestAddress\":\"127.0.0.1:0\",\"adminAddress\":\"[::1]:8081\","
                    + "\"peerAddress\":\"127.0.0.1:7000\",\"logUrl\":\"http://127.0.0.1:9000\","
                    + "\"listUrl\":\"http://127.0.0.1:9100/\"";

    /** Guards against a default that differs from the reference page. */
    @Test
    void absentKeysTakeTheirDefaults() {
        EntrySettings settings = SettingsLoader.parse("s", REQUIRED + "}").get();
        assertEquals(2000, settings.shutdownWaitMillis());
        assertEquals(2, settings.frontThreadCount());
        assertEquals(new HostPort("::1", 8081), settings.adminAddress());
        assertTrue(settings.workers().isEmpty());
    }

    /** Guards against reporting only the first of several invalid keys. */
    @Test
    void everyWrongKeyIsReportedAtOnceWithItsPath() {
        String text =
                "{\"instance\":\"a b\",\"failureDomain\":7,\"requestAddress\":\"x\","
                        + "\"adminAddress\":\"h:70000\",\"peerAddress\":\"h:1\","
                        + "\"logUrl\":\"ftp://h\",\"listUrl\":\"http://h/x\",\"logLevel\":\"loud\","
                        + "\"shutdownWaitMillis\":-1,\"frontThreadCount\":1.5,\"colour\":1,"
                        + "\"workers\":{\"w1\":\"h:0\",\"w 2\":\"h:1\",\"w3\":3}}";
        InvalidSettings problems =
                assertInstanceOf(InvalidSettings.class, SettingsLoader.parse("s", text).getLeft());
        List<String> keys = problems.problems().stream().map(InvalidSetting::key).sorted().toList();
        assertEquals(
                List.of(
                        "adminAddress",
                        "colour",
                        "failureDomain",
                        "frontThreadCount",
                        "instance",
                        "listUrl",
                        "logLevel",
                        "logUrl",
                        "region",
                        "requestAddress",
                        "shutdownWaitMillis",
                        "workers.w 2",
                        "workers.w1",
                        "workers.w3"),
                keys);
    }

    /** Guards against assigning a worker the address of another. */
    @Test
    void workersAreReadById() {
        String text = REQUIRED + ",\"workers\":{\"w-1\":\"10.0.0.1:7100\"}}";
        EntrySettings settings = SettingsLoader.parse("s", text).get();
        assertEquals(new HostPort("10.0.0.1", 7100), settings.workers().get(new WorkerId("w-1")));
    }

    /**
     * Guards against an exception for a malformed document, and against duplicate keys of which the
     * last silently wins.
     */
    @Test
    void malformedDocumentsNameThePlace() {
        for (String text : List.of("", "[]", "{\"instance\":", "{\"a\":1,\"a\":2}", "{} {}")) {
            InvalidSettings problems =
                    assertInstanceOf(
                            InvalidSettings.class, SettingsLoader.parse("s", text).getLeft());
            assertTrue(problems.message().startsWith("s"), problems.message());
        }
    }

    /** Guards against reading a file of unlimited size into memory. */
    @Test
    void oversizedFileIsRefused(@TempDir Path directory) throws IOException {
        Path file = directory.resolve("settings.json");
        Files.write(file, new byte[2 * 1024 * 1024]);
        assertInstanceOf(OversizedInput.class, SettingsLoader.load(file).getLeft());
    }
}
