/** Simulated workers and log on a virtual clock, used only by the benchmarks. */
@NullMarked
package org.hornbeamward.bench.fake;

import org.jspecify.annotations.NullMarked;
