/** Duties, bounded rings and the plug-in registry. */
@NullMarked
package org.hornbeamward.kernel;

import org.jspecify.annotations.NullMarked;
