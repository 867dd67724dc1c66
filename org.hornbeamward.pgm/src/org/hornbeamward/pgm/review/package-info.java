/** The monthly review and the definition of each figure. */
@NullMarked
package org.hornbeamward.pgm.review;

import org.jspecify.annotations.NullMarked;
