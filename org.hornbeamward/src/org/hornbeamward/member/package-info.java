/** Membership decisions: suspicion, promises and activity. */
@NullMarked
package org.hornbeamward.member;

import org.jspecify.annotations.NullMarked;
