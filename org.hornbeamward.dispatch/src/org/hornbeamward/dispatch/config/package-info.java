/** The configuration that operators set: queues, worker pools and limits. */
@NullMarked
package org.hornbeamward.dispatch.config;

import org.jspecify.annotations.NullMarked;
