package org.hornbeamward.schedule.policy;

/**
 * The tasks of one class on a worker.
 *
 * @param cores sum of their declared cores
 * @param count number of tasks, at least 1
 * @param service true for a class of services
 */
public record ClassLoad(double cores, int count, boolean service) {}
