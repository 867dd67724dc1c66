/** Length-prefixed framing: a length of four bytes, followed by one message. */
@NullMarked
package org.hornbeamward.transport.frame;

import org.jspecify.annotations.NullMarked;
