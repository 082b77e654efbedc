package org.aspenmoor.internal.document;

import java.util.Optional;

/** Determines the kind of a request from the team's document; callers do not send it. */
public final class KindClassifier {
    private KindClassifier() {}

    /** Returns the first kind of the document that matches. */
    public static Optional<RequestKind> classify(ServiceDocument document, RequestTraits traits) {
        return document.kinds().stream()
                .filter(kind -> matches(kind.match(), traits))
                .findFirst();
    }

    private static boolean matches(KindMatch match, RequestTraits traits) {
        boolean isModelRequest = traits.model().isPresent();
        if (match.model().isPresent() && !match.model().equals(traits.model())) {
            return false;
        }
        if (match.adapter().isPresent() && !match.adapter().equals(traits.adapter())) {
            return false;
        }
        boolean matchesPlainCalls =
                match.method().isPresent() || match.pathPrefix().isPresent();
        if (matchesPlainCalls && isModelRequest) {
            return false;
        }
        if (match.method().isPresent() && !match.method().get().equalsIgnoreCase(traits.method())) {
            return false;
        }
        if (match.pathPrefix().isPresent()
                && !traits.path().startsWith(match.pathPrefix().get())) {
            return false;
        }
        return match.mostPromptTokens().map(max -> traits.promptTokens() <= max).orElse(true);
    }
}
