package org.hornbeamward.state;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;

/**
 * One step of a generated scenario. The choices are resolved against what exists when the step is
 * applied, so that a scenario remains meaningful after shrinking.
 *
 * @param action kind of step
 * @param author index of the member that writes the record
 * @param firstChoice chooses the main object of the action, such as a task, worker or domain
 * @param secondChoice chooses a second object or a variant of the action
 */
record Step(Action action, int author, int firstChoice, int secondChoice) {

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
