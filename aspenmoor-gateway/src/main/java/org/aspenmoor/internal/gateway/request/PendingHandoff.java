package org.aspenmoor.internal.gateway.request;

import java.util.Optional;

/** Holds the prefilled prompt of a request until a decode engine has transferred its cache. */
final class PendingHandoff {
    private final ServingContext context;
    private final String requestId;
    private Optional<PrefilledPrompt> prompt = Optional.empty();

    PendingHandoff(ServingContext context, String requestId) {
        this.context = context;
        this.requestId = requestId;
    }

    Optional<PrefilledPrompt> prompt() {
        return prompt;
    }

    void begin(PrefilledPrompt prefilled) {
        prompt = Optional.of(prefilled);
    }

    void completed() {
        prompt = Optional.empty();
    }

    /** Releases the cache at its engine; otherwise it would occupy the engine's memory until its handle expires. */
    void release() {
        prompt.ifPresent(prefilled -> prefilled.release(context, requestId));
        prompt = Optional.empty();
    }
}
