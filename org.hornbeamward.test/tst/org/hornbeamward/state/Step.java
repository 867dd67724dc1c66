package org.hornbeamward.state;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;

/**
 * One step of a generated scenario. The numbers choose among what exists when the step is taken, so
 * that a shrunk scenario stays meaningful.
 *
 * @param action what to do
 * @param author which member writes the record
 * @param first first choice
 * @param second second choice
 */
record Step(Action action, int author, int first, int second) {

    enum Action {
        PLACE,
        PLACE_STALE,
        STOP,
        END,
        END_STALE,
        CHECKPOINT,
        CANCEL,
        SUBMIT,
        RESTART_WORKER,
        LOSE_WORKER,
        TAKE_OUT,
        BRING_BACK,
        PUBLISH,
        TAKE_SLOTS,
        GIVE_SLOTS,
        SUSPECT,
        TRUST,
        REJOIN,
        REPEAT_RECORD,
        RESTORE_SNAPSHOT
    }

    static Arbitrary<List<Step>> scenarios() {
        Arbitrary<Integer> choice = Arbitraries.integers().between(0, 30);
        return Combinators.combine(
                        Arbitraries.of(Action.values()),
                        Arbitraries.integers().between(0, 2),
                        choice,
                        choice)
                .as(Step::new)
                .list()
                .ofMinSize(1)
                .ofMaxSize(120);
    }
}
