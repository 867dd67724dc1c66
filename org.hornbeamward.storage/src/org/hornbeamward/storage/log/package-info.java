/** Client, batching appender and stream follower for the platform's log service. */
@NullMarked
package org.hornbeamward.storage.log;

import org.jspecify.annotations.NullMarked;
