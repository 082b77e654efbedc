package org.aspenmoor.internal.administration;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.document.AcceptedDocument;
import org.aspenmoor.internal.document.CheckedDocument;
import org.aspenmoor.internal.document.DocumentAcceptance;
import org.aspenmoor.internal.document.DocumentInForce;
import org.aspenmoor.internal.document.DocumentProposal;
import org.aspenmoor.internal.document.DocumentRegistry;
import org.aspenmoor.internal.document.ProposedDocument;
import org.aspenmoor.internal.document.ServiceName;
import org.aspenmoor.internal.document.StoredDocument;

/** Endpoints that read and change documents. */
final class DocumentEndpoints {
    private static final String DOCUMENT_PATH = "documents/:team/:service";
    private static final int DEFAULT_REVISIONS = 20;
    private static final int MAX_REVISIONS = 50;

    private final DocumentAcceptance acceptance;
    private final DocumentRegistry registry;

    DocumentEndpoints(DocumentAcceptance acceptance, DocumentRegistry registry) {
        this.acceptance = acceptance;
        this.registry = registry;
    }

    List<Endpoint> all() {
        return List.of(
                new Endpoint("GET", "documents", this::list),
                new Endpoint("GET", DOCUMENT_PATH, this::read),
                new Endpoint("PUT", DOCUMENT_PATH, this::accept),
                new Endpoint("POST", DOCUMENT_PATH + "/check", this::check),
                new Endpoint("POST", DOCUMENT_PATH + "/propose", this::propose),
                new Endpoint("GET", DOCUMENT_PATH + "/history", this::history),
                new Endpoint("GET", DOCUMENT_PATH + "/history/:revision", this::revision),
                new Endpoint("POST", DOCUMENT_PATH + "/revert/:revision", this::revert));
    }

    /** Lists the documents in force in this process; from the store it would have to read thousands of documents. */
    private ApiAnswer list(ApiRequest request) {
        ArrayNode documents = JsonNodeFactory.instance.arrayNode();
        for (DocumentInForce inForce : registry.all()) {
            if (request.operator().scope().covers(inForce.document().team())) {
                documents.add(DocumentJson.summary(inForce.document())
                        .put("since", inForce.appliedAt().toString()));
            }
        }
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.set("documents", documents);
        return ApiAnswer.ok(body);
    }

    private ApiAnswer read(ApiRequest request) throws AspenmoorException {
        ServiceName name = request.service();
        StoredDocument stored = acceptance
                .read(name)
                .orElseThrow(() -> RequestRefusedException.unknown(
                        "The service has no document.",
                        name.toString(),
                        "Check the names, or submit a first document."));
        return ApiAnswer.ofRevision(stored.document().revision(), DocumentJson.complete(stored));
    }

    private ApiAnswer check(ApiRequest request) throws AspenmoorException {
        CheckedDocument checked = acceptance.check(request.service().toString(), request.body());
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("mistakes", checked.findings().size());
        body.set("findings", ErrorAnswers.findings(checked.findings()));
        return ApiAnswer.ok(body);
    }

    private ApiAnswer propose(ApiRequest request) throws AspenmoorException {
        ServiceName name = request.service();
        long current = acceptance
                .read(name)
                .map(stored -> stored.document().revision())
                .orElse(0L);
        long expectedRevision = request.ifMatch().isPresent() ? request.expectedRevision() : current;
        ProposedDocument proposed = acceptance.propose(proposal(request, expectedRevision));
        ObjectNode body = DocumentJson.summary(proposed.document().withRevision(proposed.currentRevision()));
        body.set("changes", DocumentJson.changes(proposed.difference()));
        return ApiAnswer.ofRevision(proposed.currentRevision(), body);
    }

    private ApiAnswer accept(ApiRequest request) throws AspenmoorException {
        return acceptedAnswer(acceptance.accept(proposal(request, request.expectedRevision())));
    }

    private ApiAnswer revert(ApiRequest request) throws AspenmoorException {
        return acceptedAnswer(acceptance.revert(
                request.service(),
                request.revision(),
                request.expectedRevision(),
                request.operator().name()));
    }

    private ApiAnswer history(ApiRequest request) throws AspenmoorException {
        int limit = request.queryNumber("limit", DEFAULT_REVISIONS, MAX_REVISIONS);
        ArrayNode revisions = JsonNodeFactory.instance.arrayNode();
        for (StoredDocument stored : acceptance.history(request.service(), limit)) {
            revisions.add(DocumentJson.revision(stored));
        }
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.set("revisions", revisions);
        return ApiAnswer.ok(body);
    }

    private ApiAnswer revision(ApiRequest request) throws AspenmoorException {
        StoredDocument stored = acceptance.revision(request.service(), request.revision());
        return ApiAnswer.ofRevision(stored.document().revision(), DocumentJson.complete(stored));
    }

    private static DocumentProposal proposal(ApiRequest request, long expectedRevision) throws RequestRefusedException {
        return new DocumentProposal(
                request.service(),
                request.body(),
                expectedRevision,
                request.operator().name());
    }

    private static ApiAnswer acceptedAnswer(AcceptedDocument accepted) {
        ObjectNode body = DocumentJson.summary(accepted.stored().document());
        body.put("historyRecorded", accepted.historyRecorded());
        body.set("changes", DocumentJson.changes(accepted.difference()));
        return ApiAnswer.ofRevision(accepted.stored().document().revision(), body);
    }
}
