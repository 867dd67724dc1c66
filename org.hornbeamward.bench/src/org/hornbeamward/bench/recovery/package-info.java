/** Measures what happens after members, workers and the log fail, on a virtual clock. */
@NullMarked
package org.hornbeamward.bench.recovery;

import org.jspecify.annotations.NullMarked;
