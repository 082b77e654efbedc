package org.aspenmoor.internal.document;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Writes a document as plain JSON that {@link DocumentReader} reads back to an equal document. */
public final class DocumentWriter {
    private static final double MILLIS_PER_SECOND = 1000.0;

    private DocumentWriter() {}

    /** Writes the document with explicit values for all defaults. */
    public static String write(ServiceDocument document) {
        return writeTree(document).toPrettyString();
    }

    static ObjectNode writeTree(ServiceDocument document) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("team", document.team());
        root.put("service", document.service());
        root.put("revision", document.revision());
        root.put("roleChangePrice", document.roleChangePrice());
        ArrayNode hashes = root.putArray("callerTokenHashes");
        document.callerTokenHashes().forEach(hashes::add);
        ArrayNode models = root.putArray("models");
        document.models().forEach(model -> writeModel(models.addObject(), model));
        ArrayNode kinds = root.putArray("kinds");
        document.kinds().forEach(kind -> writeKind(kinds.addObject(), kind));
        ArrayNode engines = root.putArray("engines");
        ArrayNode plainServices = root.putArray("plainServices");
        document.backends().forEach(backend -> writeBackend(engines, plainServices, backend));
        return root;
    }

    private static void writeModel(ObjectNode node, ModelDeclaration model) {
        node.put("name", model.name());
        node.put("version", model.version());
        ArrayNode adapters = node.putArray("adapters");
        for (AdapterDeclaration adapter : model.adapters()) {
            adapters.addObject().put("name", adapter.name()).put("version", adapter.version());
        }
    }

    private static void writeKind(ObjectNode node, RequestKind kind) {
        node.put("name", kind.name());
        ObjectNode match = node.putObject("match");
        kind.match().model().ifPresent(model -> match.put("model", model));
        kind.match().adapter().ifPresent(adapter -> match.put("adapter", adapter));
        kind.match().method().ifPresent(method -> match.put("method", method));
        kind.match().pathPrefix().ifPresent(prefix -> match.put("pathPrefix", prefix));
        kind.match().mostPromptTokens().ifPresent(tokens -> match.put("mostPromptTokens", tokens));
        node.put("weight", kind.weight());
        node.put("deadlineSeconds", kind.deadline().toMillis() / MILLIS_PER_SECOND);
        node.put("idempotent", kind.idempotent());
        node.put("longestOutputTokens", kind.longestOutputTokens());
    }

    private static void writeBackend(ArrayNode engines, ArrayNode plainServices, BackendDeclaration backend) {
        switch (backend) {
            case BackendDeclaration.EngineDeclaration engine ->
                engines.addObject()
                        .put("name", engine.name())
                        .put("dataCentre", engine.dataCentre())
                        .put("checksFencingNumbers", engine.checksFencingNumbers());
            case BackendDeclaration.PlainServiceDeclaration plain ->
                plainServices.addObject().put("name", plain.name()).put("dataCentre", plain.dataCentre());
        }
    }
}
