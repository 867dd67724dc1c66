package org.hornbeamward.pgm.questionnaire;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hornbeamward.pgm.settings.HostPort;

/** Addresses of a group of equal endpoints. */
final class EndpointAddresses {
    private static final Pattern IPV4 =
            Pattern.compile("([0-9]+\\.[0-9]+\\.[0-9]+\\.)([0-9]{1,3})");

    private EndpointAddresses() {}

    /** Returns the last number of an IPv4 address, or -1 for another host. */
    static int lastNumber(HostPort address) {
        Matcher matcher = IPV4.matcher(address.host());
        return matcher.matches() ? Integer.parseInt(matcher.group(2)) : -1;
    }

    static HostPort of(Answers.EndpointGroup group, int index) {
        HostPort first = HostPort.parse(group.firstAddress()).get();
        if (group.addressStep().equals("port")) {
            return new HostPort(first.host(), first.port() + index);
        }
        Matcher matcher = IPV4.matcher(first.host());
        if (!matcher.matches()) {
            throw new IllegalStateException("the answers were not checked for contradictions");
        }
        int number = Integer.parseInt(matcher.group(2)) + index;
        return new HostPort(matcher.group(1) + number, first.port());
    }
}
