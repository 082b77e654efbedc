package org.aspenmoor.internal.duty;

/**
 * A duty at one moment.
 *
 * @param name the duty's name
 * @param ringSize places in its ring
 * @param waiting messages in the ring
 * @param refused messages that found no room
 * @param failed messages whose handling failed
 */
public record DutyState(String name, int ringSize, long waiting, long refused, long failed) {}
