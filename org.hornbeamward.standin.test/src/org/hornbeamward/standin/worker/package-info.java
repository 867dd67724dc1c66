/** Stand-in for the platform's workers, with simulated tasks and fault injection. */
@NullMarked
package org.hornbeamward.standin.worker;

import org.jspecify.annotations.NullMarked;
