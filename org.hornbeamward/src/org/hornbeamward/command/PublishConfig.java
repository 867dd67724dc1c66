package org.hornbeamward.command;

import java.util.SortedMap;

/**
 * Changes entries of the configuration.
 *
 * @param commandId unique id of the operator's command
 * @param baseVersion version the change is based on
 * @param changedEntries key to JSON text; an empty text removes the key
 */
public record PublishConfig(
        String commandId, long baseVersion, SortedMap<String, String> changedEntries)
        implements IdentifiedCommand {}
