package org.hornbeamward.state;

import com.dynatrace.hash4j.hashing.Hashing;
import io.vavr.control.Either;
import java.util.TreeMap;
import java.util.TreeSet;
import org.hornbeamward.codec.Reader;
import org.hornbeamward.codec.Writer;
import org.hornbeamward.command.JoinMember;
import org.hornbeamward.config.Configuration;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.SnapshotCorrupt;
import org.hornbeamward.lib.EndpointId;
import org.hornbeamward.lib.InstanceId;

/**
 * Encodes and decodes the complete replicated state. Equal states have equal encodings, so the
 * digest of the encoding identifies the state.
 */
public final class StateSnapshot {
    private static final int FORMAT_VERSION = 1;

    private StateSnapshot() {}

    /**
     * Encodes a state. Must be called by the thread that applies the log.
     *
     * @param state the state
     * @return its bytes
     */
    public static byte[] encode(ClusterState state) {
        Writer out = new Writer();
        out.array(10)
                .integer(FORMAT_VERSION)
                .integer(state.mNextOffset)
                .integer(state.mLogTimeMillis);
        writeMembers(out, state.mMembers);
        writeConfig(out, state.mConfig);
        writeDomains(out, state.mDomains);
        WorkSnapshot.write(out, state.mWork);
        writeSlots(out, state.mSlots);
        FiguresSnapshot.write(out, state.mFigures);
        writeVerdicts(out, state.mVerdicts);
        return out.toBytes();
    }

    /**
     * Computes the digest of an encoded state.
     *
     * @param encoded bytes of {@link #encode}
     * @return 64-bit digest
     */
    public static long digest(byte[] encoded) {
        return Hashing.komihash5_0().hashBytesToLong(encoded);
    }

    /**
     * Decodes a state.
     *
     * @param snapshotId id of the snapshot, for the error message
     * @param encoded bytes of {@link #encode}
     * @return the state, or an error if the bytes are not a valid encoding
     */
    public static Either<HornbeamwardError, ClusterState> decode(
            String snapshotId, byte[] encoded) {
        Reader in = new Reader(encoded);
        try {
            in.array(10);
            long version = in.integer();
            if (version != FORMAT_VERSION) {
                throw in.malformed("format version " + version + " instead of " + FORMAT_VERSION);
            }
            ClusterState state = new ClusterState();
            state.mNextOffset = in.integer();
            state.mLogTimeMillis = in.integer();
            readMembers(in, state.mMembers);
            readConfig(in, state.mConfig);
            readDomains(in, state.mDomains);
            WorkSnapshot.read(in, state.mWork);
            readSlots(in, state.mSlots);
            FiguresSnapshot.read(in, state.mFigures);
            readVerdicts(in, state.mVerdicts);
            in.end();
            return Either.right(state);
        } catch (Reader.MalformedInputException e) {
            return Either.left(new SnapshotCorrupt(snapshotId, String.valueOf(e.getMessage())));
        }
    }

    private static void writeMembers(Writer out, MemberTable members) {
        out.array(3).integer(members.mEpochToken);
        out.list(members.mEndedIncarnations, out::integer);
        out.list(members.mMembers.values(), member -> writeMember(out, member));
    }

    private static void writeMember(Writer out, Member member) {
        JoinMember join = member.join();
        out.array(12)
                .text(join.instance())
                .integer(join.incarnation())
                .text(join.failureDomain())
                .text(join.region())
                .text(join.peerAddress())
                .text(join.adminAddress())
                .integer(member.joinToken())
                .integer(member.lastSequence())
                .integer(member.lastWallMillis())
                .list(member.suspectedBy(), out::text)
                .integer(member.configVersion())
                .integer(member.demandSlotCount());
    }

    private static void readMembers(Reader in, MemberTable members) {
        in.array(3);
        members.mEpochToken = in.integer();
        for (int left = in.array(); left > 0; left--) {
            members.mEndedIncarnations.add(in.integer());
        }
        for (int left = in.array(); left > 0; left--) {
            Member member = readMember(in);
            members.mMembers.put(member.instance(), member);
        }
    }

    private static Member readMember(Reader in) {
        in.array(12);
        JoinMember join =
                new JoinMember(
                        in.instance(),
                        in.integer(),
                        in.failureDomain(),
                        in.region(),
                        in.text(),
                        in.text());
        long joinToken = in.integer();
        long lastSequence = in.integer();
        long lastWallMillis = in.integer();
        TreeSet<InstanceId> suspectingMembers = new TreeSet<>();
        for (int left = in.array(); left > 0; left--) {
            suspectingMembers.add(in.instance());
        }
        return new Member(
                join,
                joinToken,
                lastSequence,
                lastWallMillis,
                suspectingMembers,
                in.integer(),
                in.int32());
    }

    private static void writeConfig(Writer out, ConfigTable config) {
        out.array(2).integer(config.mVersion);
        out.map(config.mEntries, entry -> out.text(entry.getKey()).text(entry.getValue()));
    }

    private static void readConfig(Reader in, ConfigTable config) {
        in.array(2);
        config.mVersion = in.integer();
        TreeMap<String, String> entries = new TreeMap<>();
        for (int left = in.array() / 2; left > 0; left--) {
            entries.put(in.text(), in.text());
        }
        config.mEntries = entries;
        config.mConfiguration =
                Configuration.parse(entries)
                        .getOrElseThrow(problems -> in.malformed(problems.message()));
    }

    private static void writeDomains(Writer out, DomainTable domains) {
        out.list(
                domains.mChanged.entrySet(),
                entry -> {
                    DomainStatus status = entry.getValue();
                    out.array(5)
                            .text(entry.getKey())
                            .bool(status.inService())
                            .integer(status.version())
                            .integer(status.noticeMillis())
                            .bool(status.lost());
                });
    }

    private static void readDomains(Reader in, DomainTable domains) {
        for (int left = in.array(); left > 0; left--) {
            in.array(5);
            domains.mChanged.put(
                    in.failureDomain(),
                    new DomainStatus(in.bool(), in.integer(), in.integer(), in.bool()));
        }
    }

    private static void writeSlots(Writer out, SlotTable slots) {
        out.array(2);
        out.list(
                slots.mHeld.entrySet(),
                entry -> {
                    out.array(2).text(entry.getKey());
                    out.map(
                            entry.getValue(),
                            held -> out.text(held.getKey()).integer(held.getValue()));
                });
        out.list(
                slots.mReleasedByRemoval.entrySet(),
                entry -> {
                    out.array(2).text(entry.getKey());
                    out.map(
                            entry.getValue(),
                            released ->
                                    out.integer(released.getKey()).integer(released.getValue()));
                });
    }

    private static void readSlots(Reader in, SlotTable slots) {
        in.array(2);
        for (int left = in.array(); left > 0; left--) {
            in.array(2);
            EndpointId endpoint = in.endpoint();
            TreeMap<InstanceId, Integer> holders = new TreeMap<>();
            for (int pairs = in.array() / 2; pairs > 0; pairs--) {
                holders.put(in.instance(), in.int32());
            }
            slots.mHeld.put(endpoint, holders);
        }
        for (int left = in.array(); left > 0; left--) {
            in.array(2);
            EndpointId endpoint = in.endpoint();
            TreeMap<Long, Integer> released = new TreeMap<>();
            for (int pairs = in.array() / 2; pairs > 0; pairs--) {
                released.put(in.integer(), in.int32());
            }
            slots.mReleasedByRemoval.put(endpoint, released);
        }
    }

    private static void writeVerdicts(Writer out, VerdictTable verdicts) {
        out.list(
                verdicts.mVerdicts.entrySet(),
                entry ->
                        out.array(4)
                                .text(entry.getKey())
                                .integer(entry.getValue().token())
                                .text(entry.getValue().rejection())
                                .integer(entry.getValue().currentVersion()));
    }

    private static void readVerdicts(Reader in, VerdictTable verdicts) {
        for (int left = in.array(); left > 0; left--) {
            in.array(4);
            verdicts.mVerdicts.put(
                    in.text(), new VerdictTable.Verdict(in.integer(), in.text(), in.integer()));
        }
    }
}
