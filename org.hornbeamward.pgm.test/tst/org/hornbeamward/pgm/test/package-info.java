/** Tests of the programs. */
@NullMarked
package org.hornbeamward.pgm.test;

import org.jspecify.annotations.NullMarked;
