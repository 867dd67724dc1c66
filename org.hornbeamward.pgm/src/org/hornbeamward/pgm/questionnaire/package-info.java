/** Turns a team's answers into configuration entries and jobs. */
@NullMarked
package org.hornbeamward.pgm.questionnaire;

import org.jspecify.annotations.NullMarked;
