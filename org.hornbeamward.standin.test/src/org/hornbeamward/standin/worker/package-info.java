/** A stand-in for the platform's workers, with simulated tasks and faults. */
@NullMarked
package org.hornbeamward.standin.worker;

import org.jspecify.annotations.NullMarked;
