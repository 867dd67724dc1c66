package org.hornbeamward.config;

import org.hornbeamward.lib.Resources;

/**
 * A team's share: entry {@code team/<name>}.
 *
 * @param weight share relative to other teams, above 0
 * @param quota most that the team's placed tasks may hold
 */
public record TeamConfig(double weight, Resources quota) {}
