/** Supervision of workers: leases, starts, stops, reports and loss. */
@NullMarked
package org.hornbeamward.schedule.worker;

import org.jspecify.annotations.NullMarked;
