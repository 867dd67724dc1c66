package org.hornbeamward.config;

/**
 * The placement policy: entry {@code policy}.
 *
 * @param placementPolicy name of a registered placement policy
 */
public record PolicyConfig(String placementPolicy) {
    /** Used if the configuration has no {@code policy} entry. */
    public static final PolicyConfig DEFAULT = new PolicyConfig("interference");
}
