/** A small HTTP/1.1 server on Netty, shared by the front, the admin API and the stand-ins. */
@NullMarked
package org.hornbeamward.transport.http;

import org.jspecify.annotations.NullMarked;
