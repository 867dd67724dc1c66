package org.hornbeamward.pgm.questionnaire;

import java.util.List;

/**
 * Questions about one thing, or about each of several things of a kind.
 *
 * @param key key of the section in the answers
 * @param title what the section is about
 * @param repeated true if the answers are an array with an object for each thing
 * @param minCount least number of things
 * @param questions in the order in which they are asked
 */
record Section(
        String key, String title, boolean repeated, int minCount, List<Question> questions) {}
