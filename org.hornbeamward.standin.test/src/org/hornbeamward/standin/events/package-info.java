/** Records and faults shared by the stand-ins. */
@NullMarked
package org.hornbeamward.standin.events;

import org.jspecify.annotations.NullMarked;
