/** Links: TCP connections that carry messages. */
@NullMarked
package org.hornbeamward.transport.link;

import org.jspecify.annotations.NullMarked;
