/** Benchmarks of slot planning, retries and load shedding on a virtual clock. */
@NullMarked
package org.hornbeamward.bench.limits;

import org.jspecify.annotations.NullMarked;
