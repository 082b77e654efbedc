package org.aspenmoor.internal.document;

/** The category of requests that a kind matches. */
public enum RequestCategory {
    /** A completion by a model engine. */
    GENERATION,
    /** A call that is passed through to a plain service. */
    PLAIN_CALL;

    /** Returns the category of a kind by its match and token limit; if they do not determine it, by the service's backends. */
    public static RequestCategory of(RequestKind kind, ServiceDocument document) {
        if (restrictsPlainCalls(kind)) {
            return PLAIN_CALL;
        }
        if (restrictsGenerations(kind) || kind.longestOutputTokens() > 0) {
            return GENERATION;
        }
        boolean servesModelsOnly = !document.models().isEmpty()
                && document.backends().stream().noneMatch(BackendDeclaration.PlainServiceDeclaration.class::isInstance);
        return servesModelsOnly ? GENERATION : PLAIN_CALL;
    }

    /** Returns whether a kind's match has criteria of both categories, so that no request can match. */
    static boolean isMixed(RequestKind kind) {
        return restrictsPlainCalls(kind) && restrictsGenerations(kind);
    }

    private static boolean restrictsPlainCalls(RequestKind kind) {
        return kind.match().method().isPresent() || kind.match().pathPrefix().isPresent();
    }

    private static boolean restrictsGenerations(RequestKind kind) {
        KindMatch match = kind.match();
        return match.model().isPresent()
                || match.adapter().isPresent()
                || match.mostPromptTokens().isPresent();
    }
}
