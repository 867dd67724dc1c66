package org.hornbeamward.pgm.settings;

import io.vavr.control.Either;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hornbeamward.errors.InvalidSetting;

/**
 * A TCP address. Its text form is {@code host:port}, with an IPv6 host in brackets.
 *
 * @param host IP address or host name, without brackets
 * @param port 0 to 65535; 0 lets the operating system choose a free port when listening
 */
public record HostPort(String host, int port) {
    private static final Pattern PATTERN =
            Pattern.compile("(?:\\[([0-9A-Fa-f:.]+)]|([A-Za-z0-9.-]+)):([0-9]{1,5})");
    private static final int MAX_PORT = 65_535;

    /**
     * Parses the text form.
     *
     * @param text {@code host:port}
     * @return the address, or a problem that names the accepted form
     */
    public static Either<InvalidSetting, HostPort> parse(String text) {
        Matcher matcher = PATTERN.matcher(text);
        if (matcher.matches() && Integer.parseInt(matcher.group(3)) <= MAX_PORT) {
            String host = matcher.group(1) == null ? matcher.group(2) : matcher.group(1);
            return Either.right(new HostPort(host, Integer.parseInt(matcher.group(3))));
        }
        return Either.left(
                new InvalidSetting("'" + text + "'", "use host:port with a port from 0 to 65535"));
    }

    @Override
    public String toString() {
        return (host.indexOf(':') >= 0 ? "[" + host + "]" : host) + ":" + port;
    }
}
