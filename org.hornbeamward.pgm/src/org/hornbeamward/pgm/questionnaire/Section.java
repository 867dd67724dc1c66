package org.hornbeamward.pgm.questionnaire;

import java.util.List;

/**
 * A section of the questionnaire: questions about one object, or about each object of an array.
 *
 * @param key key of the section in the answers
 * @param title name of the object, as shown to the operator
 * @param repeated whether the answers are an array of objects
 * @param minCount minimum number of objects
 * @param questions in the order in which they are asked
 */
record Section(
        String key, String title, boolean repeated, int minCount, List<Question> questions) {}
