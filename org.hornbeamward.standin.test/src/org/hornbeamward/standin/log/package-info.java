/** Stand-in for the platform's log service. */
@NullMarked
package org.hornbeamward.standin.log;

import org.jspecify.annotations.NullMarked;
