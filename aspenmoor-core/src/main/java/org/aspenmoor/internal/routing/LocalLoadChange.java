package org.aspenmoor.internal.routing;

/**
 * A change of an engine's load that this router made and a report may not show yet.
 *
 * @param atNanoseconds when
 * @param prefillTokens prompt tokens added to its queue
 * @param sequences sequences added to its batch; negative where one ended
 */
record LocalLoadChange(long atNanoseconds, double prefillTokens, int sequences) {}
