/** A small Netty-based HTTP/1.1 server, used by the front, the admin API and the stand-ins. */
@NullMarked
package org.hornbeamward.transport.http;

import org.jspecify.annotations.NullMarked;
