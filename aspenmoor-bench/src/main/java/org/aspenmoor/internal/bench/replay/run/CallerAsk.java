package org.aspenmoor.internal.bench.replay.run;

import org.aspenmoor.internal.bench.replay.customer.ServedKind;
import org.aspenmoor.internal.serving.Prompt;

/**
 * What one caller wants, over all of its tries.
 *
 * @param kind its kind
 * @param prompt its prompt
 * @param events how many events the answer has
 * @param askedAt when it first asked, in nanoseconds
 * @param deadlineAt until when it waits, in nanoseconds
 */
record CallerAsk(ServedKind kind, Prompt prompt, int events, long askedAt, long deadlineAt) {
    /** What a token of an answer counts in the size of a request, in prompt tokens. */
    private static final int ANSWER_TOKEN_SIZE = 10;

    double size() {
        return prompt.promptTokens() + (double) ANSWER_TOKEN_SIZE * events;
    }
}
