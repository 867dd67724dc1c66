/** Benchmarks of the decision code on a virtual clock. */
@NullMarked
package org.hornbeamward.bench;

import org.jspecify.annotations.NullMarked;
