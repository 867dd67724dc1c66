/** Usage measured by workers. */
@NullMarked
package org.hornbeamward.schedule.usage;

import org.jspecify.annotations.NullMarked;
