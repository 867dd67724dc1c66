/** Generates configuration entries and jobs from a team's answers to a questionnaire. */
@NullMarked
package org.hornbeamward.pgm.questionnaire;

import org.jspecify.annotations.NullMarked;
