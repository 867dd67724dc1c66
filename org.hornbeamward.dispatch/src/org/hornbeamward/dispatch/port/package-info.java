/** Interfaces of the dispatcher to its environment: time, the store and the workers. */
@NullMarked
package org.hornbeamward.dispatch.port;

import org.jspecify.annotations.NullMarked;
