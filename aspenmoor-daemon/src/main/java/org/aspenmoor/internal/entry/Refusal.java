package org.aspenmoor.internal.entry;

import org.aspenmoor.Outcome;

/**
 * A request that has to be refused.
 *
 * @param request the request
 * @param outcome what its caller is told
 */
record Refusal(ActiveRequest request, Outcome.NotRun outcome) {}
