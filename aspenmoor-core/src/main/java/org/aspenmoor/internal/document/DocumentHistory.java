package org.aspenmoor.internal.document;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.StoreConflictException;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreOutcomeUnknownException;
import org.aspenmoor.internal.store.StoredObject;

/** The history of documents: one store object per revision; the oldest are removed. */
public final class DocumentHistory {
    /** The number of revisions kept per document. */
    public static final int REVISIONS_KEPT = 200;

    private static final int MAX_ATTEMPTS = 3;

    private final ObjectStore store;

    public DocumentHistory(ObjectStore store) {
        this.store = store;
    }

    /** Reads one revision; empty if it never existed or is no longer kept. */
    public Optional<StoredDocument> read(ServiceName name, long revision) throws StoreException {
        Optional<StoredObject> object = store.read(StoredDocumentCodec.revisionKey(name, revision));
        return object.isEmpty() ? Optional.empty() : Optional.of(StoredDocumentCodec.read(object.get()));
    }

    /**
     * Returns the latest revisions, newest first.
     *
     * <p>The latest revision is taken from the document in force, because its history object may not be written yet.
     */
    public List<StoredDocument> latest(StoredDocument inForce, int limit) throws StoreException {
        List<StoredDocument> revisions = new ArrayList<>();
        revisions.add(inForce);
        ServiceName name = ServiceName.of(inForce.document());
        long revision = inForce.document().revision() - 1;
        while (revision > 0 && revisions.size() < limit) {
            Optional<StoredDocument> earlier = read(name, revision);
            if (earlier.isEmpty()) {
                break;
            }
            revisions.add(earlier.get());
            revision--;
        }
        return revisions;
    }

    /** Writes a revision to the history unless it is already there. */
    void record(StoredDocument stored) throws StoreException {
        ServiceName name = ServiceName.of(stored.document());
        for (int attempt = 1; ; attempt++) {
            try {
                store.create(
                        StoredDocumentCodec.revisionKey(name, stored.document().revision()),
                        stored.object().value());
                return;
            } catch (StoreConflictException recordedBefore) {
                return;
            } catch (StoreOutcomeUnknownException outcomeUnknown) {
                // Retrying is safe: if the first create took effect, the second one conflicts.
                if (attempt == MAX_ATTEMPTS) {
                    throw outcomeUnknown;
                }
            }
        }
    }

    /** Removes the revision that is no longer kept now that the newest one exists. */
    void removeOutdated(StoredDocument newest) throws StoreException {
        long revision = newest.document().revision() - REVISIONS_KEPT;
        if (revision <= 0) {
            return;
        }
        ServiceName name = ServiceName.of(newest.document());
        Optional<StoredObject> outdated = store.read(StoredDocumentCodec.revisionKey(name, revision));
        if (outdated.isPresent()) {
            store.delete(outdated.get());
        }
    }
}
