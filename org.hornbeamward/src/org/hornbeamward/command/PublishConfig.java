package org.hornbeamward.command;

import java.util.SortedMap;

/**
 * Changes entries of the configuration.
 *
 * @param commandId unique id of the operator's command
 * @param baseVersion version of the configuration that the change is based on
 * @param changedEntries JSON text by key; an empty text removes the key
 */
public record PublishConfig(
        String commandId, long baseVersion, SortedMap<String, String> changedEntries)
        implements IdentifiedCommand {}
