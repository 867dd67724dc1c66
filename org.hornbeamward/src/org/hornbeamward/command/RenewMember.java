package org.hornbeamward.command;

/**
 * Reports the configuration in force on the author and its demand for slots.
 *
 * @param configVersion version of the configuration in force
 * @param demandSlotCount number of slots that it could use now
 */
public record RenewMember(long configVersion, int demandSlotCount) implements Command {}
