package org.hornbeamward.dispatch.config;

/**
 * A pool of workers.
 *
 * @param name name by which queues refer to it
 * @param admissionChecked whether its workers reject tasks that do not fit
 * @param standby whether its machines are switched off
 */
public record PoolConfig(String name, boolean admissionChecked, boolean standby) {}
