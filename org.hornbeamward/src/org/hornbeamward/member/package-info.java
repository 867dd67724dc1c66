/** Membership decisions: suspicion, promises, activity and roles. */
@NullMarked
package org.hornbeamward.member;

import org.jspecify.annotations.NullMarked;
