/** Placement policies: where a task runs and when batch work is reduced. */
@NullMarked
package org.hornbeamward.schedule.policy;

import org.jspecify.annotations.NullMarked;
