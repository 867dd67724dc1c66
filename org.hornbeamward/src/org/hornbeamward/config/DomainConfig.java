package org.hornbeamward.config;

import org.hornbeamward.lib.RegionId;

/**
 * A failure domain: entry {@code domain/<name>}.
 *
 * @param region region to which it belongs
 */
public record DomainConfig(RegionId region) {}
