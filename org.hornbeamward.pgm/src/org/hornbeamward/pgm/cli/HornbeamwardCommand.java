package org.hornbeamward.pgm.cli;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.hornbeamward.errors.InvalidSetting;
import org.hornbeamward.pgm.settings.HostPort;
import picocli.CommandLine.Command;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.Option;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.TypeConversionException;

/** The root command {@code hornbeamward} with its global options. */
@Command(
        name = "hornbeamward",
        description = "Configures and operates hornbeamward.",
        synopsisSubcommandLabel = "VERB",
        mixinStandardHelpOptions = true,
        scope = ScopeType.INHERIT,
        version = "hornbeamward 0.1.0-SNAPSHOT",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {
            "0:done",
            "1:refused by rule, nothing changed",
            "2:wrong usage or bad input, nothing changed",
            "3:version conflict, nothing changed",
            "4:unreachable, nothing changed",
            "5:outcome unknown, repeat with the same command id",
            "6:fault of the program"
        },
        subcommands = {
            QuestionnaireVerb.class,
            ConfigGroup.class,
            DomainGroup.class,
            JobGroup.class,
            WorkerGroup.class,
            MemberGroup.class,
            ReviewVerb.class,
            StateVerb.class
        })
final class HornbeamwardCommand {
    @Option(
            names = "--admin",
            paramLabel = "HOST:PORT",
            split = ",",
            scope = ScopeType.INHERIT,
            converter = AddressConverter.class,
            defaultValue = "${env:HORNBEAMWARD_ADMIN}",
            description = "admin address of an entry instance; several are tried in turn")
    private List<HostPort> mAdminAddresses = new ArrayList<>();

    @Option(
            names = "--json",
            scope = ScopeType.INHERIT,
            description = "print JSON instead of text for people")
    private boolean mJson;

    List<HostPort> adminAddresses() {
        return mAdminAddresses == null ? List.of() : mAdminAddresses;
    }

    boolean json() {
        return mJson;
    }

    /** Parses addresses given on the command line. */
    static final class AddressConverter implements ITypeConverter<HostPort> {
        @Override
        public HostPort convert(String text) {
            Either<InvalidSetting, HostPort> address = HostPort.parse(text);
            if (address.isLeft()) {
                throw new TypeConversionException(address.getLeft().message());
            }
            return address.get();
        }
    }
}
