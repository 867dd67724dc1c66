package org.hornbeamward.config;

import org.hornbeamward.lib.RegionId;

/**
 * A failure domain: entry {@code domain/<name>}.
 *
 * @param region region that it lies in
 */
public record DomainConfig(RegionId region) {}
