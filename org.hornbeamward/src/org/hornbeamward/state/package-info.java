/** The replicated state machine, built by applying the records of the control stream. */
@NullMarked
package org.hornbeamward.state;

import org.jspecify.annotations.NullMarked;
