/** The command-line program, with one class for each verb. */
@NullMarked
package org.hornbeamward.pgm.cli;

import org.jspecify.annotations.NullMarked;
