package org.aspenmoor.internal.document;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.finding.Findings;
import org.aspenmoor.internal.json.FieldReader;
import org.aspenmoor.internal.json.LocatedJsonParser;
import org.aspenmoor.internal.json.LocatedValue;

/** Reads a team's document from JSON with comments. */
public final class DocumentReader {
    static final String ACCEPTANCE_FIELD = "acceptance";

    // Larger integers are not represented exactly by every JSON parser.
    private static final double MAX_REVISION = (1L << 53) - 1;
    private static final double MAX_WEIGHT = 1_000_000;
    private static final double MIN_DEADLINE_SECONDS = 0.05;
    private static final double MAX_DEADLINE_SECONDS = 3600;
    private static final int MAX_TOKENS = 1_000_000;
    private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(30);

    private final Findings findings;

    public DocumentReader(Findings findings) {
        this.findings = findings;
    }

    /** Reads a document; empty if the text is not a JSON object. Mistakes are added to the findings. */
    public Optional<ServiceDocument> read(String source, String text) {
        return readLocated(source, text).map(LocatedDocument::document);
    }

    /** Reads a document and keeps the location of each field for subsequent checks. */
    public Optional<LocatedDocument> readLocated(String source, String text) {
        Optional<LocatedValue.ObjectValue> root = new LocatedJsonParser(source, findings).parseObject(text);
        return root.map(object ->
                new LocatedDocument(readDocument(new FieldReader(object, findings)), new LocationIndex(object)));
    }

    private ServiceDocument readDocument(FieldReader reader) {
        ServiceDocument document = new ServiceDocument(
                reader.requiredText("team"),
                reader.requiredText("service"),
                (long) reader.decimal("revision", 0, MAX_REVISION, 0),
                readModels(reader),
                readKinds(reader),
                reader.decimal("roleChangePrice", 0, MAX_WEIGHT, 0),
                reader.texts("callerTokenHashes"),
                readBackends(reader));
        // Only stored documents have this field; StoredDocumentCodec reads it.
        reader.object(ACCEPTANCE_FIELD);
        reader.rejectUnknownFields();
        return document;
    }

    private static List<ModelDeclaration> readModels(FieldReader reader) {
        List<ModelDeclaration> models = new ArrayList<>();
        for (FieldReader model : reader.objects("models")) {
            models.add(new ModelDeclaration(
                    model.requiredText("name"), model.requiredText("version"), readAdapters(model)));
            model.rejectUnknownFields();
        }
        return models;
    }

    private static List<AdapterDeclaration> readAdapters(FieldReader model) {
        List<AdapterDeclaration> adapters = new ArrayList<>();
        for (FieldReader adapter : model.objects("adapters")) {
            adapters.add(new AdapterDeclaration(adapter.requiredText("name"), adapter.requiredText("version")));
            adapter.rejectUnknownFields();
        }
        return adapters;
    }

    private static List<RequestKind> readKinds(FieldReader reader) {
        List<RequestKind> kinds = new ArrayList<>();
        for (FieldReader kind : reader.objects("kinds")) {
            kind.requirePresent("weight", "1");
            kind.requirePresent("deadlineSeconds", "2.5");
            kinds.add(new RequestKind(
                    kind.requiredText("name"),
                    readMatch(kind),
                    kind.decimal("weight", 0, MAX_WEIGHT, 1),
                    kind.seconds("deadlineSeconds", MIN_DEADLINE_SECONDS, MAX_DEADLINE_SECONDS, DEFAULT_DEADLINE),
                    kind.bool("idempotent", true),
                    kind.integer("longestOutputTokens", 0, MAX_TOKENS, 0)));
            kind.rejectUnknownFields();
        }
        return kinds;
    }

    private static KindMatch readMatch(FieldReader kind) {
        Optional<FieldReader> match = kind.object("match");
        if (match.isEmpty()) {
            return new KindMatch(
                    Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());
        }
        FieldReader reader = match.get();
        int mostPromptTokens = reader.integer("mostPromptTokens", 1, MAX_TOKENS, 0);
        KindMatch read = new KindMatch(
                reader.optionalText("model"),
                reader.optionalText("adapter"),
                reader.optionalText("method"),
                reader.optionalText("pathPrefix"),
                mostPromptTokens == 0 ? Optional.empty() : Optional.of(mostPromptTokens));
        reader.rejectUnknownFields();
        return read;
    }

    private static List<BackendDeclaration> readBackends(FieldReader reader) {
        List<BackendDeclaration> backends = new ArrayList<>();
        for (FieldReader engine : reader.objects("engines")) {
            backends.add(new BackendDeclaration.EngineDeclaration(
                    engine.requiredText("name"),
                    engine.requiredText("dataCentre"),
                    engine.bool("checksFencingNumbers", false)));
            engine.rejectUnknownFields();
        }
        for (FieldReader plain : reader.objects("plainServices")) {
            backends.add(new BackendDeclaration.PlainServiceDeclaration(
                    plain.requiredText("name"), plain.requiredText("dataCentre")));
            plain.rejectUnknownFields();
        }
        return backends;
    }
}
