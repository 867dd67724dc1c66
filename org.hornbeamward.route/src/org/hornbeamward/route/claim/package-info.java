/** At-most-once execution of non-idempotent requests. */
@NullMarked
package org.hornbeamward.route.claim;

import org.jspecify.annotations.NullMarked;
