/** Small immutable ids and values. */
@NullMarked
package org.hornbeamward.lib;

import org.jspecify.annotations.NullMarked;
