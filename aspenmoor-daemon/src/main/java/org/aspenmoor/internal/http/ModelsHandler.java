package org.aspenmoor.internal.http;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import org.aspenmoor.Outcome;
import org.aspenmoor.RefusalReason;
import org.aspenmoor.internal.administration.TokenHash;
import org.aspenmoor.internal.document.AdapterDeclaration;
import org.aspenmoor.internal.document.DocumentInForce;
import org.aspenmoor.internal.document.DocumentRegistry;
import org.aspenmoor.internal.document.ModelDeclaration;
import org.aspenmoor.internal.document.ServiceDocument;
import ratpack.handling.Context;
import ratpack.handling.Handler;

/** Lists the models that the caller's token may use. */
final class ModelsHandler implements Handler {
    private final DocumentRegistry registry;
    private final RequestSubmitter submitter;

    ModelsHandler(DocumentRegistry registry, RequestSubmitter submitter) {
        this.registry = registry;
        this.submitter = submitter;
    }

    @Override
    public void handle(Context context) {
        String tokenHash = TokenHash.of(RequestSubmitter.bearerToken(context));
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("object", "list");
        ArrayNode data = body.putArray("data");
        boolean tokenKnown = false;
        for (DocumentInForce inForce : registry.all()) {
            ServiceDocument document = inForce.document();
            if (document.callerTokenHashes().contains(tokenHash)) {
                tokenKnown = true;
                document.models().forEach(model -> addModel(data, document, model));
            }
        }
        if (tokenKnown) {
            AnswerWriter.writeJson(context, submitter.newRequestId(), body.toString());
            return;
        }
        AnswerWriter.writeRefusal(
                context,
                submitter.newRequestId(),
                new Outcome.NotRun(
                        RefusalReason.NOT_AUTHORISED,
                        Duration.ZERO,
                        "The token is not valid for any service; send the team's token."));
    }

    private static void addModel(ArrayNode data, ServiceDocument document, ModelDeclaration model) {
        data.addObject().put("id", model.name()).put("object", "model").put("owned_by", document.team());
        for (AdapterDeclaration adapter : model.adapters()) {
            data.addObject()
                    .put("id", model.name() + ":" + adapter.name())
                    .put("object", "model")
                    .put("owned_by", document.team());
        }
    }
}
