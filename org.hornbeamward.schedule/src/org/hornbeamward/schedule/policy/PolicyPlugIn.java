package org.hornbeamward.schedule.policy;

import org.hornbeamward.kernel.PlugIn;
import org.hornbeamward.kernel.PlugInRegistry;

/** Registers the policies of this module. */
public final class PolicyPlugIn implements PlugIn {
    /** Creates the plug-in. */
    public PolicyPlugIn() {}

    @Override
    public void register(PlugInRegistry registry) {
        registry.add(PlacementPolicy.Factory.class, "best-fit", BestFitPolicy::new);
        registry.add(PlacementPolicy.Factory.class, "interference", InterferencePolicy::new);
    }
}
