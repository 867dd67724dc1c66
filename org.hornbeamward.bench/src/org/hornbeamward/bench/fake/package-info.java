/** Small fakes of workers and the log on a virtual clock, for the measurements only. */
@NullMarked
package org.hornbeamward.bench.fake;

import org.jspecify.annotations.NullMarked;
