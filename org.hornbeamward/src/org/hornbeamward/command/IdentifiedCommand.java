package org.hornbeamward.command;

/**
 * A command of an operator or caller. Its id makes it idempotent: if it is repeated, also through
 * another instance, it is not applied again and gets the verdict on its first occurrence.
 */
public sealed interface IdentifiedCommand extends Command
        permits BringBackDomain, CancelJob, PublishConfig, ReleaseWorker, SubmitJob, TakeOutDomain {

    /**
     * Returns the id, unique among the commands whose verdicts are kept.
     *
     * @return the id
     */
    String commandId();
}
