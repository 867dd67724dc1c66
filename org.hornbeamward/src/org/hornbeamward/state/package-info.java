/** The replicated state machine that is folded from the control stream. */
@NullMarked
package org.hornbeamward.state;

import org.jspecify.annotations.NullMarked;
