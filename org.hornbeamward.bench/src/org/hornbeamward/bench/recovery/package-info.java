/** Benchmarks of the recovery from failures of members, workers and the log on a virtual clock. */
@NullMarked
package org.hornbeamward.bench.recovery;

import org.jspecify.annotations.NullMarked;
