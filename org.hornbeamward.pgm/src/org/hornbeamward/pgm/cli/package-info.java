/** The command line program, one class per verb. */
@NullMarked
package org.hornbeamward.pgm.cli;

import org.jspecify.annotations.NullMarked;
