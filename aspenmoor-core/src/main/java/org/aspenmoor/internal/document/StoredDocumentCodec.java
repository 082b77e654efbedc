package org.aspenmoor.internal.document;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Optional;
import org.aspenmoor.internal.finding.Findings;
import org.aspenmoor.internal.json.FieldReader;
import org.aspenmoor.internal.json.LocatedJsonParser;
import org.aspenmoor.internal.json.LocatedValue;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.StoreMalformedException;
import org.aspenmoor.internal.store.StoredObject;

/** The keys and the JSON form of documents in the store: the document's fields and a record of its acceptance. */
public final class StoredDocumentCodec {
    private static final String OPERATOR = "by";
    private static final String ACCEPTED_AT = "at";
    private static final String NONCE = "nonce";
    private static final String CHANGES = "changes";

    private StoredDocumentCodec() {}

    /** Returns the key of the object that contains the document in force. */
    public static ObjectKey documentKey(ServiceName name) {
        return new ObjectKey(ObjectKind.DOCUMENT, name.team(), name.service());
    }

    /** Returns the key of the object that contains a revision in the history. */
    public static ObjectKey revisionKey(ServiceName name, long revision) {
        return new ObjectKey(ObjectKind.DOCUMENT_REVISION, name.team(), name.service() + "." + revision);
    }

    /** Writes the object's value. */
    public static String write(ServiceDocument document, Acceptance acceptance) {
        ObjectNode root = DocumentWriter.writeTree(document);
        ObjectNode node = root.putObject(DocumentReader.ACCEPTANCE_FIELD);
        node.put(OPERATOR, acceptance.operator());
        node.put(ACCEPTED_AT, acceptance.acceptedAt().toString());
        node.put(NONCE, acceptance.nonce());
        acceptance.changes().forEach(node.putArray(CHANGES)::add);
        return root.toString();
    }

    /**
     * Reads an object's value.
     *
     * @throws StoreMalformedException if the object does not contain a valid document
     */
    public static StoredDocument read(StoredObject object) throws StoreMalformedException {
        Findings findings = new Findings();
        String source = object.key().toString();
        Optional<ServiceDocument> document = new DocumentReader(findings).read(source, object.value());
        Optional<LocatedValue.ObjectValue> root = new LocatedJsonParser(source, findings).parseObject(object.value());
        if (!findings.isEmpty() || document.isEmpty() || root.isEmpty()) {
            throw new StoreMalformedException(
                    "The stored document is not valid: " + findings.all() + ".",
                    source,
                    "Write the object again from the last valid revision in the history.");
        }
        Optional<Acceptance> acceptance = new FieldReader(root.get(), findings)
                .object(DocumentReader.ACCEPTANCE_FIELD)
                .flatMap(StoredDocumentCodec::readAcceptance);
        return new StoredDocument(object, document.get(), acceptance);
    }

    private static Optional<Acceptance> readAcceptance(FieldReader reader) {
        try {
            return Optional.of(new Acceptance(
                    reader.optionalText(OPERATOR).orElse(""),
                    Instant.parse(reader.optionalText(ACCEPTED_AT).orElse("")),
                    reader.optionalText(NONCE).orElse(""),
                    reader.texts(CHANGES)));
        } catch (DateTimeParseException invalid) {
            return Optional.empty();
        }
    }
}
