/** The leader: it keeps all jobs in memory, places tasks and sends orders to workers. */
@NullMarked
package org.hornbeamward.dispatch.lead;

import org.jspecify.annotations.NullMarked;
