/** Placement policies: score workers for tasks and reduce batch work that slows down services. */
@NullMarked
package org.hornbeamward.schedule.policy;

import org.jspecify.annotations.NullMarked;
