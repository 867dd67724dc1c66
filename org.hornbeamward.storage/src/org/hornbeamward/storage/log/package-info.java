/** Client, appender and follower of the platform's log. */
@NullMarked
package org.hornbeamward.storage.log;

import org.jspecify.annotations.NullMarked;
