/** Slopes of memory, processor time and bytes against the sizes of section 1.6 of the design. */
@NullMarked
package org.hornbeamward.bench.capacity;

import org.jspecify.annotations.NullMarked;
