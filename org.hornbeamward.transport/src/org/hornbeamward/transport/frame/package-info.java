/** Frames: a length prefix of four bytes and one message. */
@NullMarked
package org.hornbeamward.transport.frame;

import org.jspecify.annotations.NullMarked;
