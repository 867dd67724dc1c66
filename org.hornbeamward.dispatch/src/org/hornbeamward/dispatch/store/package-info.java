/** Reading topics of the store as a follower and appending to them as a fenced writer. */
@NullMarked
package org.hornbeamward.dispatch.store;

import org.jspecify.annotations.NullMarked;
