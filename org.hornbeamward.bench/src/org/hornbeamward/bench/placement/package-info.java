/** Benchmark of latency, throughput and evictions by placement policy. */
@NullMarked
package org.hornbeamward.bench.placement;

import org.jspecify.annotations.NullMarked;
