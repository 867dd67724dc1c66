package org.hornbeamward.config;

import org.hornbeamward.lib.Resources;

/**
 * A team's weight and quota: entry {@code team/<name>}.
 *
 * @param weight weight in fair sharing, relative to other teams, above 0
 * @param quota maximum resources that the team's placed tasks may hold in total
 */
public record TeamConfig(double weight, Resources quota) {}
