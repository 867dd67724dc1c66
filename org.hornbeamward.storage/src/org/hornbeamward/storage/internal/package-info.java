/** HTTP with size and time limits; not for use by other modules. */
@NullMarked
package org.hornbeamward.storage.internal;

import org.jspecify.annotations.NullMarked;
