package org.hornbeamward.command;

/**
 * Tells the configuration in force at the author and its demand for slots.
 *
 * @param configVersion version in force
 * @param demandSlotCount slots it could use now
 */
public record RenewMember(long configVersion, int demandSlotCount) implements Command {}
