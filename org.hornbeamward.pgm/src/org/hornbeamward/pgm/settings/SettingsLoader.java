package org.hornbeamward.pgm.settings;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.net.URI;
import java.net.URISyntaxException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.InvalidSetting;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.RegionId;
import org.hornbeamward.lib.WorkerId;
import org.tinylog.Level;

/** Loads and validates the settings file of an entry instance. */
public final class SettingsLoader {
    /** All keys of the settings file. */
    public static final List<String> KEYS =
            List.of(
                    "instance",
                    "failureDomain",
                    "region",
                    "requestAddress",
                    "adminAddress",
                    "peerAddress",
                    "logUrl",
                    "listUrl",
                    "workers",
                    "logLevel",
                    "shutdownWaitMillis",
                    "frontThreadCount",
                    "snapshotIntervalRecordCount");

    /** Default of {@code shutdownWaitMillis}. */
    public static final long DEFAULT_SHUTDOWN_WAIT_MILLIS = 2000;

    /** Default of {@code frontThreadCount}. */
    public static final int DEFAULT_FRONT_THREAD_COUNT = 2;

    /** Default of {@code snapshotIntervalRecordCount}. */
    public static final long DEFAULT_SNAPSHOT_INTERVAL_RECORD_COUNT = 20_000;

    private static final long MIN_SNAPSHOT_INTERVAL = 10;
    private static final long MAX_SNAPSHOT_INTERVAL = 10_000_000;
    private static final long MAX_SHUTDOWN_WAIT_MILLIS = 600_000;
    private static final int MAX_FRONT_THREADS = 64;
    private static final int MAX_PORT = 65_535;

    private SettingsLoader() {}

    /**
     * Loads a settings file.
     *
     * @param file JSON with comments, at most {@link JsonDocuments#MAX_FILE_BYTES}
     * @return the settings, or all problems, each with its key and how to correct it
     */
    public static Either<HornbeamwardError, EntrySettings> load(Path file) {
        return JsonDocuments.readFile(file).flatMap(SettingsLoader::validate);
    }

    /**
     * Parses the text of a settings file.
     *
     * @param name name of the document in error messages
     * @param text JSON with comments
     * @return the settings, or all problems, each with its key and how to correct it
     */
    public static Either<HornbeamwardError, EntrySettings> parse(String name, String text) {
        return JsonDocuments.parse(name, text).flatMap(SettingsLoader::validate);
    }

    private static Either<HornbeamwardError, EntrySettings> validate(ObjectNode node) {
        FieldReader reader = FieldReader.of(node);
        Optional<InstanceId> instance = reader.parsed("instance", InstanceId::parse);
        Optional<FailureDomainId> domain = reader.parsed("failureDomain", FailureDomainId::parse);
        Optional<RegionId> region = reader.parsed("region", RegionId::parse);
        Optional<HostPort> request = reader.parsed("requestAddress", HostPort::parse);
        Optional<HostPort> admin = reader.parsed("adminAddress", HostPort::parse);
        Optional<HostPort> peer = reader.parsed("peerAddress", HostPort::parse);
        Optional<URI> logUrl = reader.parsed("logUrl", SettingsLoader::parseHttpUrl);
        Optional<URI> listUrl = reader.parsed("listUrl", SettingsLoader::parseHttpUrl);
        SortedMap<WorkerId, HostPort> workers = readWorkers(reader);
        Optional<Level> logLevel =
                reader.has("logLevel")
                        ? reader.parsed("logLevel", SettingsLoader::parseLevel)
                        : Optional.of(Level.INFO);
        long shutdownWaitMillis =
                reader.integer(
                        "shutdownWaitMillis",
                        0,
                        MAX_SHUTDOWN_WAIT_MILLIS,
                        DEFAULT_SHUTDOWN_WAIT_MILLIS);
        long threadCount =
                reader.integer(
                        "frontThreadCount", 1, MAX_FRONT_THREADS, DEFAULT_FRONT_THREAD_COUNT);
        long snapshotInterval =
                reader.integer(
                        "snapshotIntervalRecordCount",
                        MIN_SNAPSHOT_INTERVAL,
                        MAX_SNAPSHOT_INTERVAL,
                        DEFAULT_SNAPSHOT_INTERVAL_RECORD_COUNT);
        return reader.finish(
                () ->
                        new EntrySettings(
                                instance.orElseThrow(),
                                domain.orElseThrow(),
                                region.orElseThrow(),
                                request.orElseThrow(),
                                admin.orElseThrow(),
                                peer.orElseThrow(),
                                logUrl.orElseThrow(),
                                listUrl.orElseThrow(),
                                workers,
                                logLevel.orElseThrow(),
                                shutdownWaitMillis,
                                (int) threadCount,
                                snapshotInterval));
    }

    private static SortedMap<WorkerId, HostPort> readWorkers(FieldReader reader) {
        SortedMap<WorkerId, HostPort> workers = new TreeMap<>();
        Optional<FieldReader> map = reader.optionalObject("workers");
        if (map.isEmpty()) {
            return workers;
        }
        for (String key : map.get().keys()) {
            Either<? extends HornbeamwardError, WorkerId> id = WorkerId.parse(key);
            Optional<HostPort> address = map.get().parsed(key, HostPort::parse);
            if (id.isLeft()) {
                map.get().addProblem(key, id.getLeft().message());
            } else if (address.isPresent() && address.get().port() == 0) {
                map.get().addProblem(key, "needs the port that the worker listens on, not 0");
            } else {
                address.ifPresent(value -> workers.put(id.get(), value));
            }
        }
        return workers;
    }

    /**
     * Parses a URL of the log or the instance list. Only http URLs without a path are accepted,
     * because the clients use paths of their own and do not support TLS.
     */
    private static Either<InvalidSetting, URI> parseHttpUrl(String text) {
        try {
            URI uri = new URI(text);
            String path = uri.getPath() == null ? "" : uri.getPath();
            boolean accepted =
                    "http".equals(uri.getScheme())
                            && uri.getHost() != null
                            && uri.getPort() != 0
                            && uri.getPort() <= MAX_PORT
                            && (path.isEmpty() || path.equals("/"))
                            && uri.getQuery() == null
                            && uri.getUserInfo() == null;
            if (accepted) {
                return Either.right(uri);
            }
        } catch (URISyntaxException e) {
            // The error below names the accepted form.
        }
        return Either.left(
                new InvalidSetting(
                        "'" + text + "'", "use http://host:port, without a path and without TLS"));
    }

    private static Either<InvalidSetting, Level> parseLevel(String text) {
        return Arrays.stream(Level.values())
                .filter(level -> level.name().equals(text.toUpperCase(Locale.ROOT)))
                .findFirst()
                .<Either<InvalidSetting, Level>>map(Either::right)
                .orElseGet(
                        () ->
                                Either.left(
                                        new InvalidSetting(
                                                "'" + text + "'",
                                                "use trace, debug, info, warn, error or off")));
    }
}
