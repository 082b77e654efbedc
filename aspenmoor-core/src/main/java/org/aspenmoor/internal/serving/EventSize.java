package org.aspenmoor.internal.serving;

/**
 * The average size of the events in the answers of a service, as measured by one entry.
 *
 * @param service the service
 * @param tokensPerEvent how many tokens an event contains
 */
public record EventSize(String service, double tokensPerEvent) {}
