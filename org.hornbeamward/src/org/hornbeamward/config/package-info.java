/** The published configuration as typed values. */
@NullMarked
package org.hornbeamward.config;

import org.jspecify.annotations.NullMarked;
