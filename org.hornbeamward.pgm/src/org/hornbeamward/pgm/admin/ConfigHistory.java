package org.hornbeamward.pgm.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.hornbeamward.command.PublishConfig;
import org.hornbeamward.pgm.settings.JsonDocuments;
import org.hornbeamward.state.CommandResult;

/**
 * The most recent accepted changes of the configuration that this process has applied. A process
 * that started from a snapshot does not have the changes before it. Confined to the thread that
 * applies the log.
 */
public final class ConfigHistory {
    /** Maximum number of changes that are kept; older ones are dropped. */
    public static final int MAX_CHANGES = 200;

    private final Deque<Change> mChanges = new ArrayDeque<>();

    private record Change(
            long version, String commandId, long logTimeMillis, List<String> changedKeys) {}

    /** Creates an empty history. */
    public ConfigHistory() {}

    /**
     * Records an accepted change of the configuration; ignores other commands.
     *
     * @param result one result of {@link org.hornbeamward.state.ClusterState#apply}
     * @param logTimeMillis log time after it was applied
     */
    public void record(CommandResult result, long logTimeMillis) {
        if (!result.accepted() || !(result.command() instanceof PublishConfig publish)) {
            return;
        }
        mChanges.addLast(
                new Change(
                        result.token(),
                        publish.commandId(),
                        logTimeMillis,
                        List.copyOf(publish.changedEntries().keySet())));
        if (mChanges.size() > MAX_CHANGES) {
            mChanges.removeFirst();
        }
    }

    /**
     * Returns the changes.
     *
     * @return an array of objects with version, commandId, time and changedKeys, newest first
     */
    public JsonNode view() {
        ArrayNode list = JsonDocuments.object().arrayNode();
        mChanges.descendingIterator()
                .forEachRemaining(
                        change -> {
                            ObjectNode node = list.addObject();
                            node.put("version", change.version());
                            node.put("commandId", change.commandId());
                            node.put(
                                    "time",
                                    Instant.ofEpochMilli(change.logTimeMillis()).toString());
                            ArrayNode keys = node.putArray("changedKeys");
                            change.changedKeys().forEach(keys::add);
                        });
        return list;
    }
}
