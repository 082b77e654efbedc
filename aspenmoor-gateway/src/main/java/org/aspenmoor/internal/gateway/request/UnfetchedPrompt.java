package org.aspenmoor.internal.gateway.request;

import java.util.Optional;

/** The prefill cache of a request that no decode engine has transferred yet, if there is one. */
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

    /** Releases the cache at its engine; otherwise it would occupy the engine's memory until its handle expires. */
    void free() {
        prompt.ifPresent(computed -> computed.free(tools, request));
        prompt = Optional.empty();
    }
}
