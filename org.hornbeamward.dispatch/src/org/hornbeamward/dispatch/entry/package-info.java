/** The entry process: caller requests, job status, leader election and the feed to its peers. */
@NullMarked
package org.hornbeamward.dispatch.entry;

import org.jspecify.annotations.NullMarked;
