package org.hornbeamward.kernel;

/** Registers implementations; found by {@link java.util.ServiceLoader}. */
public interface PlugIn {
    /**
     * Adds this plug-in's implementations.
     *
     * @param registry where to add them
     */
    void register(PlugInRegistry registry);
}
