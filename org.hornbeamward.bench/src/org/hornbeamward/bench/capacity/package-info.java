/**
 * Benchmarks of the growth of memory, processor time and bytes with the sizes in design section
 * 1.6.
 */
@NullMarked
package org.hornbeamward.bench.capacity;

import org.jspecify.annotations.NullMarked;
