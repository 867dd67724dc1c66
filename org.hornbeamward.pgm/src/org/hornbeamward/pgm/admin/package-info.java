/** The admin API of an entry instance: requests, answers and views of the state. */
@NullMarked
package org.hornbeamward.pgm.admin;

import org.jspecify.annotations.NullMarked;
