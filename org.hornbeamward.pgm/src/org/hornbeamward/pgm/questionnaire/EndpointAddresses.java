package org.hornbeamward.pgm.questionnaire;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hornbeamward.pgm.settings.HostPort;

/** Computes the addresses of a group of identical endpoints. */
final class EndpointAddresses {
    private static final Pattern IPV4 =
            Pattern.compile("([0-9]+\\.[0-9]+\\.[0-9]+\\.)([0-9]{1,3})");

    private EndpointAddresses() {}

    /** Returns the last octet of an IPv4 address, or -1 if the host is not one. */
    static int lastOctet(HostPort address) {
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
        int octet = Integer.parseInt(matcher.group(2)) + index;
        return new HostPort(matcher.group(1) + octet, first.port());
    }
}
