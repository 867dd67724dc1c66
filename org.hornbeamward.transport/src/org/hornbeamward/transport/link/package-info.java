/** Links that carry messages over TCP. */
@NullMarked
package org.hornbeamward.transport.link;

import org.jspecify.annotations.NullMarked;
