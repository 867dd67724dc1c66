/** The admin API of an entry instance: requests, replies and views of the state. */
@NullMarked
package org.hornbeamward.pgm.admin;

import org.jspecify.annotations.NullMarked;
