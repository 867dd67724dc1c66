package org.hornbeamward.config;

import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.Module;
import com.fasterxml.jackson.databind.deser.std.FromStringDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.function.Function;
import org.hornbeamward.errors.MalformedId;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.RegionId;

/** Reads ids from JSON texts; Jackson finds no text creator on records by itself. */
final class IdModule {
    private IdModule() {}

    static Module create() {
        return new SimpleModule("ids")
                .addDeserializer(
                        FailureDomainId.class,
                        new IdDeserializer<>(FailureDomainId.class, FailureDomainId::parse))
                .addDeserializer(
                        RegionId.class, new IdDeserializer<>(RegionId.class, RegionId::parse));
    }

    private static final class IdDeserializer<T> extends FromStringDeserializer<T> {
        private static final long serialVersionUID = 1L;
        private final transient Function<String, Either<MalformedId, T>> mParser;

        IdDeserializer(Class<T> type, Function<String, Either<MalformedId, T>> parser) {
            super(type);
            mParser = parser;
        }

        @Override
        protected T _deserialize(String text, DeserializationContext context) throws IOException {
            Either<MalformedId, T> id = mParser.apply(text);
            return id.isRight()
                    ? id.get()
                    : context.reportInputMismatch(this, "%s", id.getLeft().message());
        }
    }
}
