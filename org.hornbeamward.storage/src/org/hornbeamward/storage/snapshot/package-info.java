/** Publishes and loads snapshots of the replicated state. */
@NullMarked
package org.hornbeamward.storage.snapshot;

import org.jspecify.annotations.NullMarked;
