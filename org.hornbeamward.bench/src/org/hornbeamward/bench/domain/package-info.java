/** Work done while a failure domain leaves and returns. */
@NullMarked
package org.hornbeamward.bench.domain;

import org.jspecify.annotations.NullMarked;
