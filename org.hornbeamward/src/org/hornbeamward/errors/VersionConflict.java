package org.hornbeamward.errors;

/**
 * A change that was based on a version no longer in force.
 *
 * @param subject what was to be changed
 * @param baseVersion the version it was based on
 * @param currentVersion the version it lost to
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
