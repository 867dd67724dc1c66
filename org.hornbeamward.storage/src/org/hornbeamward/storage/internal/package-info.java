/** HTTP client with size limits and timeouts; not for use by other modules. */
@NullMarked
package org.hornbeamward.storage.internal;

import org.jspecify.annotations.NullMarked;
