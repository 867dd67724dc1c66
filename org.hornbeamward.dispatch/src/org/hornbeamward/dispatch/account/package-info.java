/** Client accounts: who may call, how much an account may run, and its share of a full cluster. */
@NullMarked
package org.hornbeamward.dispatch.account;

import org.jspecify.annotations.NullMarked;
