/** Runs real processes on stand-ins and checks the rules on the stand-ins' own records. */
@NullMarked
package org.hornbeamward.quickstart;

import org.jspecify.annotations.NullMarked;
