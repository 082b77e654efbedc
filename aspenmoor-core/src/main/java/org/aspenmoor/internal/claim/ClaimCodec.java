package org.aspenmoor.internal.claim;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.store.StoreMalformedException;
import org.aspenmoor.internal.store.StoredFields;
import org.aspenmoor.internal.store.StoredObject;

/** Converts claim buckets to and from JSON. */
final class ClaimCodec {
    private ClaimCodec() {}

    static String write(ClaimBucket bucket) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        ArrayNode claims = root.putArray("claims");
        for (ClaimEntry entry : bucket.entries()) {
            ObjectNode claim = claims.addObject();
            claim.put("key", entry.keyHash());
            claim.put("bodyDigest", entry.bodyDigest());
            claim.put("nonce", entry.nonce());
            claim.put("claimedAt", entry.claimedAtSeconds());
            entry.answer().ifPresent(answer -> writeAnswer(claim.putObject("answer"), answer));
        }
        return root.toString();
    }

    static ClaimBucket read(StoredObject object) throws StoreMalformedException {
        List<ClaimEntry> entries = new ArrayList<>();
        for (StoredFields claim : StoredFields.of(object).objects("claims")) {
            Optional<StoredFields> answer = claim.optionalObject("answer");
            entries.add(new ClaimEntry(
                    claim.text("key"),
                    claim.text("bodyDigest"),
                    claim.text("nonce"),
                    claim.nonNegativeLong("claimedAt"),
                    answer.isEmpty() ? Optional.empty() : Optional.of(readAnswer(answer.get()))));
        }
        return new ClaimBucket(entries);
    }

    private static void writeAnswer(ObjectNode node, RecordedAnswer answer) {
        node.put("status", answer.status());
        node.put("contentType", answer.contentType());
        answer.bodyBase64().ifPresent(body -> node.put("body", body));
        node.put("bodyDigest", answer.bodyDigest());
    }

    private static RecordedAnswer readAnswer(StoredFields fields) throws StoreMalformedException {
        return new RecordedAnswer(
                Math.toIntExact(fields.nonNegativeLong("status")),
                fields.text("contentType"),
                fields.optionalText("body"),
                fields.text("bodyDigest"));
    }
}
