/** Commands that change the replicated state, and the batches that carry them in the log. */
@NullMarked
package org.hornbeamward.command;

import org.jspecify.annotations.NullMarked;
