package org.aspenmoor.internal.routing;

/**
 * A change of the load of an engine that this router caused and that the last report may not include yet.
 *
 * @param atNanoseconds the time of the change
 * @param prefillTokens prompt tokens added to the prefill queue
 * @param sequences sequences added to the batch; negative if a sequence ended
 */
record LocalLoadChange(long atNanoseconds, double prefillTokens, int sequences) {}
