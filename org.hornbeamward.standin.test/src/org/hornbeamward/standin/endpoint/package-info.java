/** A stand-in for endpoints with limits, faults and a record of what they ran. */
@NullMarked
package org.hornbeamward.standin.endpoint;

import org.jspecify.annotations.NullMarked;
