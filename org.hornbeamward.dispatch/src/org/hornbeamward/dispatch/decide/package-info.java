/**
 * Scheduling decisions as functions of values, without input and output: job order, placement and
 * pacing.
 */
@NullMarked
package org.hornbeamward.dispatch.decide;

import org.jspecify.annotations.NullMarked;
