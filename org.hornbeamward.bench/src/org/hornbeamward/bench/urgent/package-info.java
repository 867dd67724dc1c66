/** Benchmark of the start latency of urgent tasks on a full cluster of the target size. */
@NullMarked
package org.hornbeamward.bench.urgent;

import org.jspecify.annotations.NullMarked;
