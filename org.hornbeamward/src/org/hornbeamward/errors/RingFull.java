package org.hornbeamward.errors;

/**
 * A bounded ring that was full when an element was to be added.
 *
 * @param ring name of the ring
 * @param capacityCount its capacity
 */
public record RingFull(String ring, int capacityCount) implements HornbeamwardError {

    @Override
    public String message() {
        return "ring " + ring + " is full at " + capacityCount + "; retry later or reduce the load";
    }
}
