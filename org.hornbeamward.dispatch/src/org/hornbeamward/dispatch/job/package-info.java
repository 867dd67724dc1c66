/** The job model: specifications, progress and their record format. */
@NullMarked
package org.hornbeamward.dispatch.job;

import org.jspecify.annotations.NullMarked;
