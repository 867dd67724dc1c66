package org.hornbeamward.schedule.policy;

/**
 * The tasks of one class on a worker.
 *
 * @param cores their declared cores
 * @param count their number, 1 or more
 * @param service true for a class of services
 */
public record ClassLoad(double cores, int count, boolean service) {}
