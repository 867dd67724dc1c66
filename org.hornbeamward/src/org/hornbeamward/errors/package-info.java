/** One class per kind of failure; each message states the remedy. */
@NullMarked
package org.hornbeamward.errors;

import org.jspecify.annotations.NullMarked;
