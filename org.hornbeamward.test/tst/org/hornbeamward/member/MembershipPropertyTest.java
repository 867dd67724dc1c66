package org.hornbeamward.member;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/**
 * Guards the takeover rule: a removed member is no longer active once its successor may use what it
 * held, even if links or the log were cut or members paused.
 */
class MembershipPropertyTest {

    /** A fault injected for a number of ticks of 250 ms. */
    record Fault(Kind kind, int member, int other, int startTick, int tickCount) {}

    enum Kind {
        CUT_LINK,
        CUT_LOG,
        PAUSE,
        LOG_DOWN
    }

    @Provide
    Arbitrary<List<Fault>> faults() {
        return Combinators.combine(
                        Arbitraries.of(Kind.values()),
                        Arbitraries.integers().between(0, 3),
                        Arbitraries.integers().between(0, 3),
                        Arbitraries.integers().between(0, 60),
                        Arbitraries.integers().between(1, 80))
                .as(Fault::new)
                .list()
                .ofMaxSize(8);
    }

    @Property(seed = "31", tries = 600)
    void aRemovedMemberIsInactiveWhenItsSuccessorMayAct(@ForAll("faults") List<Fault> faults) {
        MemberGroup group = new MemberGroup(4);
        for (int tick = 0; tick < 160; tick++) {
            group.tick(tick, faults);
            group.assertNoTakeoverWhileActive();
        }
    }

    @Test
    void aDeadMemberIsRemovedByTheOthers() {
        MemberGroup group = new MemberGroup(4);
        List<Fault> death = List.of(new Fault(Kind.PAUSE, 2, 2, 10, 1_000));
        for (int tick = 0; tick < 60; tick++) {
            group.tick(tick, death);
        }
        assertFalse(group.isMember(2));
        assertTrue(group.isActive(0));
    }

    @Test
    void membersThatHearOneAnotherStayActiveWhileTheLogIsDown() {
        MemberGroup group = new MemberGroup(4);
        List<Fault> outage = List.of(new Fault(Kind.LOG_DOWN, 0, 0, 10, 1_000));
        for (int tick = 0; tick < 200; tick++) {
            group.tick(tick, outage);
        }
        for (int member = 0; member < 4; member++) {
            assertTrue(group.isActive(member));
        }
    }

    @Test
    void oneCutLinkRemovesNobody() {
        MemberGroup group = new MemberGroup(4);
        List<Fault> cut = List.of(new Fault(Kind.CUT_LINK, 0, 1, 10, 1_000));
        for (int tick = 0; tick < 200; tick++) {
            group.tick(tick, cut);
        }
        assertTrue(group.isMember(0));
        assertTrue(group.isMember(1));
    }
}
