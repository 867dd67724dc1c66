/** Supervision of workers: leases, task starts and stops, reports, and loss of workers. */
@NullMarked
package org.hornbeamward.schedule.worker;

import org.jspecify.annotations.NullMarked;
