/** The decider: which task is placed where, which task is stopped, and which job cannot run. */
@NullMarked
package org.hornbeamward.schedule.decide;

import org.jspecify.annotations.NullMarked;
