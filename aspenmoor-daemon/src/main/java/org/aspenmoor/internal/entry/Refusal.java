package org.aspenmoor.internal.entry;

import org.aspenmoor.Outcome;

/**
 * A request to be refused.
 *
 * @param request the request
 * @param outcome the outcome reported to its caller
 */
record Refusal(ActiveRequest request, Outcome.NotRun outcome) {}
