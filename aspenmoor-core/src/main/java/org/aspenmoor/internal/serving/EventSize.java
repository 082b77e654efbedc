package org.aspenmoor.internal.serving;

/**
 * How long an entry has found the events of one service's answers.
 *
 * @param service the service
 * @param tokens how many tokens an event has
 */
public record EventSize(String service, double tokensPerEvent) {}
