/** Stand-in for endpoints, with limits, fault injection and a record of the requests run. */
@NullMarked
package org.hornbeamward.standin.endpoint;

import org.jspecify.annotations.NullMarked;
