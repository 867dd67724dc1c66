/** At most once for non-idempotent requests. */
@NullMarked
package org.hornbeamward.route.claim;

import org.jspecify.annotations.NullMarked;
