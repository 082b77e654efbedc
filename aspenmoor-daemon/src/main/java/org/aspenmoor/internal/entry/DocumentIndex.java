package org.aspenmoor.internal.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.aspenmoor.internal.administration.TokenHash;
import org.aspenmoor.internal.document.DocumentInForce;
import org.aspenmoor.internal.document.DocumentRegistry;
import org.aspenmoor.internal.document.OfferResult;
import org.aspenmoor.internal.document.ServiceDocument;
import org.aspenmoor.internal.document.ServiceName;
import org.jboss.logging.Logger;

/** The documents in force in this entry, indexed by the hash of the caller's token. */
final class DocumentIndex {
    private static final Logger LOG = Logger.getLogger("entry");

    private final DocumentRegistry registry;
    private final Map<String, List<ServiceName>> byTokenHash = new HashMap<>();

    DocumentIndex(DocumentRegistry registry) {
        this.registry = registry;
    }

    /** Puts a document in force unless the current one is the same or newer; returns whether it was put in force. */
    boolean put(ServiceDocument document) {
        OfferResult result = registry.offer(document);
        if (result == OfferResult.CONTRADICTS) {
            LOG.errorf(
                    "entry: received a different document for %s/%s revision %d; keeping the first one in force",
                    document.team(), document.service(), document.revision());
        }
        if (result != OfferResult.APPLIED) {
            return false;
        }
        rebuildTokenIndex();
        return true;
    }

    /** Returns the documents of the services that the token's holder may call. */
    List<ServiceDocument> findByToken(String token) {
        return byTokenHash.getOrDefault(TokenHash.of(token), List.of()).stream()
                .map(registry::find)
                .flatMap(Optional::stream)
                .toList();
    }

    List<ServiceDocument> all() {
        return registry.all().stream().map(DocumentInForce::document).toList();
    }

    private void rebuildTokenIndex() {
        byTokenHash.clear();
        for (ServiceDocument document : all()) {
            for (String hash : document.callerTokenHashes()) {
                byTokenHash.computeIfAbsent(hash, ignored -> new ArrayList<>()).add(ServiceName.of(document));
            }
        }
    }
}
