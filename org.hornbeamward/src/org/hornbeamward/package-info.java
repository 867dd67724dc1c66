/** Core of the scheduler: ids, commands, the replicated state machine and the kernel. */
@NullMarked
package org.hornbeamward;

import org.jspecify.annotations.NullMarked;
