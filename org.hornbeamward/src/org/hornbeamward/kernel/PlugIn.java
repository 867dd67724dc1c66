package org.hornbeamward.kernel;

/** A plug-in that registers implementations; loaded by {@link java.util.ServiceLoader}. */
public interface PlugIn {
    /**
     * Adds this plug-in's implementations.
     *
     * @param registry the registry to add them to
     */
    void register(PlugInRegistry registry);
}
