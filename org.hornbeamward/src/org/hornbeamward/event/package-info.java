/** Numbered log events. */
@NullMarked
package org.hornbeamward.event;

import org.jspecify.annotations.NullMarked;
