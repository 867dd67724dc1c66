package org.hornbeamward.storage.list;

/** What the platform says about an instance. */
public enum InstanceState {
    /** The instance may be used. */
    LIVE,
    /** The instance is about to stop and must get no new work. */
    LEAVING
}
