/** Fakes of the dispatcher's ports on a virtual clock. */
@NullMarked
package org.hornbeamward.dispatch.fake;

import org.jspecify.annotations.NullMarked;
