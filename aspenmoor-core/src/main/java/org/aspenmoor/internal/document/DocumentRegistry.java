package org.aspenmoor.internal.document;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.aspenmoor.internal.time.TimeSource;

/**
 * The documents that a process serves by. Revisions only increase.
 *
 * <p>Documents arrive from a watch, from other entries and on the data path, possibly late and in any order. If an older
 * revision were applied, this process would undo a change that the operator saw in force. Therefore a revision is only
 * applied if it is higher than the held one.
 */
public final class DocumentRegistry {
    private final TimeSource timeSource;
    private final Map<ServiceName, DocumentInForce> documents = new ConcurrentHashMap<>();

    public DocumentRegistry(TimeSource timeSource) {
        this.timeSource = timeSource;
    }

    /** Offers a received document; it comes into force if its revision is higher than the held one. */
    public OfferResult offer(ServiceDocument document) {
        ResultHolder result = new ResultHolder();
        documents.compute(ServiceName.of(document), (name, held) -> {
            result.value = compare(held, document);
            return result.value == OfferResult.APPLIED
                    ? new DocumentInForce(document, timeSource.wallClockTime(), timeSource.monotonicNanos())
                    : held;
        });
        return result.value;
    }

    private static OfferResult compare(DocumentInForce held, ServiceDocument offered) {
        if (held == null || offered.revision() > held.document().revision()) {
            return OfferResult.APPLIED;
        }
        if (offered.revision() < held.document().revision()) {
            return OfferResult.OLDER;
        }
        return offered.equals(held.document()) ? OfferResult.ALREADY_HELD : OfferResult.CONTRADICTS;
    }

    /** Returns the document in force for a service. */
    public Optional<ServiceDocument> find(ServiceName name) {
        return inForce(name).map(DocumentInForce::document);
    }

    /** Returns the document in force for a service, with the time at which it was applied. */
    public Optional<DocumentInForce> inForce(ServiceName name) {
        return Optional.ofNullable(documents.get(name));
    }

    /** Returns the revision in force for a service; 0 if none is known. */
    public long revision(ServiceName name) {
        return find(name).map(ServiceDocument::revision).orElse(0L);
    }

    /** Returns all documents in force, sorted by team and service. */
    public List<DocumentInForce> all() {
        return documents.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .map(Map.Entry::getValue)
                .toList();
    }

    /** Passes the result out of the atomic update. */
    private static final class ResultHolder {
        private OfferResult value = OfferResult.ALREADY_HELD;
    }
}
