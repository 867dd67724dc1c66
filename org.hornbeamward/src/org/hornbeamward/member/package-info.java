/** Membership: failure detection, promises, the right to act, and roles of members. */
@NullMarked
package org.hornbeamward.member;

import org.jspecify.annotations.NullMarked;
