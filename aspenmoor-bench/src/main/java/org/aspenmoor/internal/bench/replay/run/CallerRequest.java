package org.aspenmoor.internal.bench.replay.run;

import org.aspenmoor.internal.bench.replay.customer.RequestProfile;
import org.aspenmoor.internal.serving.Prompt;

/**
 * What one caller wants, over all of its tries.
 *
 * @param kind its kind
 * @param prompt its prompt
 * @param events how many events the answer has
 * @param requestedAt when it first asked, in nanoseconds
 * @param deadlineAt until when it waits, in nanoseconds
 */
record CallerRequest(RequestProfile kind, Prompt prompt, int events, long requestedAt, long deadlineAt) {
    /** What a token of an answer counts in the size of a request, in prompt tokens. */
    private static final int PROMPT_TOKENS_PER_EVENT = 10;

    double size() {
        return prompt.promptTokens() + (double) PROMPT_TOKENS_PER_EVENT * events;
    }
}
