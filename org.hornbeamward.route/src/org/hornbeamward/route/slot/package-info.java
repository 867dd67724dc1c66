/** Local use of slots and the plan of which slots to hold. */
@NullMarked
package org.hornbeamward.route.slot;

import org.jspecify.annotations.NullMarked;
