package org.hornbeamward.storage.list;

/** State of an instance as reported by the platform. */
public enum InstanceState {
    /** The instance may be used. */
    LIVE,
    /** The instance is about to stop and must not get new work. */
    LEAVING
}
