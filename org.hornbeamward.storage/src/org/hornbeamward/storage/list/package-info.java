/** Polls and decodes the platform's list of instances. */
@NullMarked
package org.hornbeamward.storage.list;

import org.jspecify.annotations.NullMarked;
