/** Benchmark of the work done while a failure domain is taken out and brought back. */
@NullMarked
package org.hornbeamward.bench.domain;

import org.jspecify.annotations.NullMarked;
