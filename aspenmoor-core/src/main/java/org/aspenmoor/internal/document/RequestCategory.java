package org.aspenmoor.internal.document;

/** Which sort of request a kind takes. */
public enum RequestCategory {
    /** A completion by a model engine. */
    GENERATION,
    /** A call passed through to a plain service. */
    PLAIN_CALL;

    /** Returns the sort of request that a kind speaks of; where the kind says nothing, the service's backends decide. */
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

    /** Says whether a kind's match has parts of both sorts, so that no request can be of it. */
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
