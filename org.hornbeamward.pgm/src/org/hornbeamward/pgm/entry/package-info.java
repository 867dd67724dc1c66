/** The entry process: routing, placement and supervision on one entry instance. */
@NullMarked
package org.hornbeamward.pgm.entry;

import org.jspecify.annotations.NullMarked;
