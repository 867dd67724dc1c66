/** Retry budget, endpoint selection, ejection and load shedding. */
@NullMarked
package org.hornbeamward.route.retry;

import org.jspecify.annotations.NullMarked;
