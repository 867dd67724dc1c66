package org.hornbeamward.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.hornbeamward.bench.domain.DomainCase;
import org.junit.jupiter.api.Test;

/** Guards against figures that depend on hash order, real time or an earlier run. */
class BenchRepeatTest {
    @Test
    void sameSeedGivesTheSameFigures() {
        BenchCase bench = new DomainCase();
        assertEquals(bench.run("imbaraga", 7), bench.run("imbaraga", 7));
    }
}
