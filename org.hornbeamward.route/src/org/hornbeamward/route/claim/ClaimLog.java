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
     * @param record record with the claims
     * @return the offset of the record; after an error, the record may or may not have been
     *     appended
     */
    CompletionStage<Either<HornbeamwardError, Long>> append(ClaimRecord record);
}
