/** Runs real processes with stand-ins and checks rules on the events that the stand-ins record. */
@NullMarked
package org.hornbeamward.quickstart;

import org.jspecify.annotations.NullMarked;
