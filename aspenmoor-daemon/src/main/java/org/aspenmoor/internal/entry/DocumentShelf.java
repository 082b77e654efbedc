package org.aspenmoor.internal.entry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import org.aspenmoor.internal.document.ServiceDocument;

/** The documents in force in this entry, found by the caller's token. */
final class DocumentShelf {
    private final Map<DocumentName, ServiceDocument> documents = new HashMap<>();
    private final Map<String, List<DocumentName>> byTokenHash = new HashMap<>();

    /**
     * Puts a document in force unless a newer one is; returns whether it was.
     *
     * <p>A watch that was interrupted, or an old replica of the store, may give a document again that was replaced
     * since. Taking it would undo an accepted change, which a team would notice as old behaviour coming back.
     */
    boolean put(ServiceDocument document) {
        DocumentName name = new DocumentName(document.team(), document.service());
        ServiceDocument known = documents.get(name);
        if (known != null && known.revision() >= document.revision()) {
            return false;
        }
        documents.put(name, document);
        rebuildTokens();
        return true;
    }

    /** Returns the documents whose service the holder of a token may call. */
    List<ServiceDocument> forToken(String token) {
        return byTokenHash.getOrDefault(hashOf(token), List.of()).stream()
                .map(documents::get)
                .toList();
    }

    Collection<ServiceDocument> all() {
        return documents.values();
    }

    private void rebuildTokens() {
        byTokenHash.clear();
        documents.forEach((name, document) -> {
            for (String hash : document.callerTokenHashes()) {
                byTokenHash.computeIfAbsent(hash, ignored -> new ArrayList<>()).add(name);
            }
        });
    }

    private static String hashOf(String token) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(token.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException("every Java platform has SHA-256", missing);
        }
    }

    private record DocumentName(String team, String service) {}
}
