package org.hornbeamward.command;

import java.util.SortedMap;
import org.hornbeamward.lib.EndpointId;

/**
 * Takes slots of endpoints for the author or gives them back.
 *
 * @param changes number of slots to take (above 0) or give back (below 0), by endpoint
 * @param waitedToken token of the newest removal whose slots may be taken; the author has waited
 *     until the requests of the members removed up to it have ended
 */
public record ChangeSlots(SortedMap<EndpointId, Integer> changes, long waitedToken)
        implements Command {}
