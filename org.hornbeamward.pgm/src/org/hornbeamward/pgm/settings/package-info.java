/** Settings of hornbeamward-entry, and checked reading of JSON documents. */
@NullMarked
package org.hornbeamward.pgm.settings;

import org.jspecify.annotations.NullMarked;
