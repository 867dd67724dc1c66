/** MessagePack encoding of command batches and of the replicated state. */
@NullMarked
package org.hornbeamward.codec;

import org.jspecify.annotations.NullMarked;
