package org.hornbeamward.route.claim;

import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;
import org.hornbeamward.errors.HornbeamwardError;

/** Appends claims to the requests stream. */
@FunctionalInterface
public interface ClaimLog {
    /**
     * Appends one record.
     *
     * @param record the claims
     * @return its offset; an error does not tell whether the record was appended
     */
    CompletionStage<Either<HornbeamwardError, Long>> append(ClaimRecord record);
}
