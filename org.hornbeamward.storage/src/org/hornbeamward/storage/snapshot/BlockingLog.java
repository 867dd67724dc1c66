package org.hornbeamward.storage.snapshot;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.LogUnavailable;
import org.hornbeamward.storage.log.LogClient;
import org.hornbeamward.storage.log.LogRead;

/** Blocking calls to a {@link LogClient}. */
final class BlockingLog {
    private BlockingLog() {}

    static Either<HornbeamwardError, Long> append(LogClient log, String stream, byte[] record)
            throws InterruptedException {
        return await(log.append(stream, record));
    }

    static Either<HornbeamwardError, LogRead> read(
            LogClient log, String stream, long fromOffset, int maxBytes)
            throws InterruptedException {
        return await(log.read(stream, fromOffset, 0, maxBytes));
    }

    private static <T> Either<HornbeamwardError, T> await(
            CompletableFuture<Either<HornbeamwardError, T>> result) throws InterruptedException {
        try {
            return result.get();
        } catch (ExecutionException e) {
            return Either.left(new LogUnavailable(String.valueOf(e.getCause())));
        }
    }
}
