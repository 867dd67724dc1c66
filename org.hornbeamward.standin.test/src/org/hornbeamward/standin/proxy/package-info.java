/** TCP proxy that injects network faults. */
@NullMarked
package org.hornbeamward.standin.proxy;

import org.jspecify.annotations.NullMarked;
