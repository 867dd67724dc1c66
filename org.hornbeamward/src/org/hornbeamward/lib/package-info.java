/** Immutable ids and values, clock, backoff and hashing. */
@NullMarked
package org.hornbeamward.lib;

import org.jspecify.annotations.NullMarked;
