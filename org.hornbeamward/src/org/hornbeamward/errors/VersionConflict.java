package org.hornbeamward.errors;

/**
 * A change based on a version that is no longer in force.
 *
 * @param subject the object to change
 * @param baseVersion the version it was based on
 * @param currentVersion the version in force
 */
public record VersionConflict(String subject, long baseVersion, long currentVersion)
        implements HornbeamwardError {

    @Override
    public String message() {
        return subject
                + " is at version "
                + currentVersion
                + ", not at "
                + baseVersion
                + "; read the current version and repeat the change";
    }
}
