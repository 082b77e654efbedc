package org.aspenmoor.internal.entry;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.Outcome;
import org.aspenmoor.RefusalReason;
import org.aspenmoor.internal.document.KindClassifier;
import org.aspenmoor.internal.document.RequestKind;
import org.aspenmoor.internal.document.RequestTraits;
import org.aspenmoor.internal.document.ServiceDocument;

/** Finds the service and kind of a request, only among the services that its token grants access to. */
final class RequestMatcher {
    private static final Duration RETRY_NOT_USEFUL = Duration.ZERO;

    private final DocumentIndex documentIndex;

    RequestMatcher(DocumentIndex documentIndex) {
        this.documentIndex = documentIndex;
    }

    RequestMatch match(IncomingRequest request) {
        List<ServiceDocument> documents = documentIndex.findByToken(request.token());
        if (documents.isEmpty()) {
            return noMatch(
                    RefusalReason.NOT_AUTHORISED, "The token grants access to no service; send the team's token.");
        }
        return switch (request.work()) {
            case CallerWork.Generation generation -> matchGeneration(documents, generation.request());
            case CallerWork.PlainCall call -> matchPlainCall(documents, call);
        };
    }

    private static RequestMatch matchGeneration(List<ServiceDocument> documents, CompletionRequest request) {
        Optional<ServiceDocument> document = documents.stream()
                .filter(candidate -> candidate.model(request.model()).isPresent())
                .findFirst();
        if (document.isEmpty()) {
            return noMatch(
                    RefusalReason.NO_SUCH_SERVICE,
                    "No service of the team runs the model '" + request.model() + "'; see GET /v1/models.");
        }
        RequestTraits traits =
                new RequestTraits(Optional.of(request.model()), request.adapter(), "POST", "", request.promptTokens());
        return matchKind(document.get(), traits);
    }

    private static RequestMatch matchPlainCall(List<ServiceDocument> documents, CallerWork.PlainCall call) {
        Optional<ServiceDocument> document = documents.stream()
                .filter(candidate -> candidate.service().equals(call.service()))
                .findFirst();
        if (document.isEmpty()) {
            return noMatch(
                    RefusalReason.NO_SUCH_SERVICE,
                    "The team has no service '" + call.service() + "'; correct the path.");
        }
        return matchKind(
                document.get(), new RequestTraits(Optional.empty(), Optional.empty(), call.method(), call.path(), 0));
    }

    private static RequestMatch matchKind(ServiceDocument document, RequestTraits traits) {
        Optional<RequestKind> kind = KindClassifier.classify(document, traits);
        if (kind.isEmpty()) {
            return noMatch(
                    RefusalReason.NO_SUCH_SERVICE,
                    "The service '" + document.service() + "' accepts no request of this kind.");
        }
        return new RequestMatch.Found(document, kind.get());
    }

    private static RequestMatch noMatch(RefusalReason reason, String detail) {
        return new RequestMatch.NoMatch(new Outcome.NotRun(reason, RETRY_NOT_USEFUL, detail));
    }
}
