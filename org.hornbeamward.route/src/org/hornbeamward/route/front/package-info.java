/** The HTTP front end, which routes callers' requests to endpoints. */
@NullMarked
package org.hornbeamward.route.front;

import org.jspecify.annotations.NullMarked;
