/** The decider: places tasks on workers, stops tasks, and rejects jobs that cannot run. */
@NullMarked
package org.hornbeamward.schedule.decide;

import org.jspecify.annotations.NullMarked;
