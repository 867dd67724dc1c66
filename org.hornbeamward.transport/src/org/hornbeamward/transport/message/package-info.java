/** Messages between members, and between supervisors and workers, and their encoding. */
@NullMarked
package org.hornbeamward.transport.message;

import org.jspecify.annotations.NullMarked;
