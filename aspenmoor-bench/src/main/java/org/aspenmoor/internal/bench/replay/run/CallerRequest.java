package org.aspenmoor.internal.bench.replay.run;

import org.aspenmoor.internal.bench.replay.customer.RequestProfile;
import org.aspenmoor.internal.serving.Prompt;

/**
 * The request of one caller, the same for all of its attempts.
 *
 * @param kind kind of the request
 * @param prompt prompt of the request
 * @param events number of events of the answer
 * @param requestedAt time of the first attempt, in nanoseconds
 * @param deadlineAt time until which the caller waits, in nanoseconds
 */
record CallerRequest(RequestProfile kind, Prompt prompt, int events, long requestedAt, long deadlineAt) {
    /** Weight of an event of the answer in the size of a request, in prompt tokens. */
    private static final int PROMPT_TOKENS_PER_EVENT = 10;

    double size() {
        return prompt.promptTokens() + (double) PROMPT_TOKENS_PER_EVENT * events;
    }
}
