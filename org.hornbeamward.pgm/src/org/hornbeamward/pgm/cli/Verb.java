package org.hornbeamward.pgm.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.concurrent.Callable;
import java.util.function.Function;
import org.hornbeamward.pgm.settings.JsonDocuments;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Base class of all verbs: global options, admin client and printing. */
abstract class Verb implements Callable<Integer> {
    @Spec private @Nullable CommandSpec mSpec;

    /** Runs the verb and returns a result to print, or a failure. */
    abstract Either<CliFailure, Result> run();

    /**
     * The result of a verb, in machine-readable and human-readable form.
     *
     * @param json machine-readable form
     * @param text human-readable form, without a trailing line break
     * @param exitCode one of {@link ExitCodes}
     */
    record Result(JsonNode json, String text, int exitCode) {
        static Result of(JsonNode json, String text) {
            return new Result(json, text, ExitCodes.DONE);
        }
    }

    @Override
    public final Integer call() {
        return run().fold(this::printFailure, this::printResult);
    }

    final HornbeamwardCommand root() {
        return (HornbeamwardCommand) spec().root().userObject();
    }

    /** Reads a view of the admin API and formats it. */
    final Either<CliFailure, Result> view(String path, Function<JsonNode, String> formatter) {
        return withClient(client -> client.get(path))
                .map(node -> Result.of(node, formatter.apply(node)));
    }

    /** Runs an operation with a client that is closed afterwards. */
    final <T> Either<CliFailure, T> withClient(
            Function<AdminClient, Either<CliFailure, T>> operation) {
        if (root().adminAddresses().isEmpty()) {
            return Either.left(
                    CliFailure.badInput(
                            "no admin address; use --admin host:port or set HORNBEAMWARD_ADMIN"));
        }
        try (AdminClient client = new AdminClient(root().adminAddresses())) {
            return operation.apply(client);
        }
    }

    private int printResult(Result result) {
        spec().commandLine()
                .getOut()
                .println(root().json() ? JsonDocuments.pretty(result.json()) : result.text());
        return result.exitCode();
    }

    private int printFailure(CliFailure failure) {
        if (root().json()) {
            ObjectNode node = failure.toJson();
            spec().commandLine().getOut().println(JsonDocuments.pretty(node));
        } else {
            spec().commandLine().getErr().println(failure.kind() + ": " + failure.message());
        }
        return failure.exitCode();
    }

    final CommandSpec spec() {
        CommandSpec spec = mSpec;
        if (spec == null) {
            throw new IllegalStateException("the verb runs only inside picocli");
        }
        return spec;
    }
}
