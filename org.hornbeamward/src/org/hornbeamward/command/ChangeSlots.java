package org.hornbeamward.command;

import java.util.SortedMap;
import org.hornbeamward.lib.EndpointId;

/**
 * Takes or gives back slots of endpoints for the author.
 *
 * @param changes slots to take (above 0) or give back (below 0)
 * @param waitedToken slots of members removed up to this token may be taken; the author has waited
 *     until their requests have ended
 */
public record ChangeSlots(SortedMap<EndpointId, Integer> changes, long waitedToken)
        implements Command {}
