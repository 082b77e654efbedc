package org.aspenmoor.internal.serving.share;

/**
 * The recent demand of one organisation for one service, at one entry or at several together.
 *
 * @param organisation a 64-bit hash of the organisation's name
 * @param priority the priority of the requests, 0 being the highest
 * @param workPerSecond the work that was asked for, whether or not it was admitted
 */
public record OrganisationDemand(long organisation, int priority, double workPerSecond) {}
