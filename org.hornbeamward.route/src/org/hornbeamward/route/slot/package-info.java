/** Counts this member's slots and plans which slots it holds. */
@NullMarked
package org.hornbeamward.route.slot;

import org.jspecify.annotations.NullMarked;
