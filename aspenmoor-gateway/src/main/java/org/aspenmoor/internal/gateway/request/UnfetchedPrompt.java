package org.aspenmoor.internal.gateway.request;

import java.util.Optional;

/** The prompt that one engine has computed for a request and another has not fetched yet, if there is any. */
final class UnfetchedPrompt {
    private final RequestTools tools;
    private final String request;
    private Optional<ComputedPrompt> prompt = Optional.empty();

    UnfetchedPrompt(RequestTools tools, String request) {
        this.tools = tools;
        this.request = request;
    }

    Optional<ComputedPrompt> prompt() {
        return prompt;
    }

    void computed(ComputedPrompt computed) {
        prompt = Optional.of(computed);
    }

    void fetched() {
        prompt = Optional.empty();
    }

    /** Lets its engine drop it; one that nobody fetches would keep the engine's memory until its handle lapses. */
    void free() {
        prompt.ifPresent(computed -> computed.free(tools, request));
        prompt = Optional.empty();
    }
}
