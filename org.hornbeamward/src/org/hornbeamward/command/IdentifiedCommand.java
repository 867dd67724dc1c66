package org.hornbeamward.command;

/**
 * A command of an operator or caller. It carries an id, so that a repeat through another instance
 * gets the first verdict.
 */
public sealed interface IdentifiedCommand extends Command
        permits BringBackDomain, CancelJob, PublishConfig, ReleaseWorker, SubmitJob, TakeOutDomain {

    /**
     * Returns the id, unique among the commands that are remembered.
     *
     * @return the id
     */
    String commandId();
}
