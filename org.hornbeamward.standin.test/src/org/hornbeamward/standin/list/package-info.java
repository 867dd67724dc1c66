/** Stand-in for the platform's instance list. */
@NullMarked
package org.hornbeamward.standin.list;

import org.jspecify.annotations.NullMarked;
