/** Event recording and fault injection shared by the stand-ins. */
@NullMarked
package org.hornbeamward.standin.events;

import org.jspecify.annotations.NullMarked;
