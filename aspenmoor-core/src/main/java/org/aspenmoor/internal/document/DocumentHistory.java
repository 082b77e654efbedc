package org.aspenmoor.internal.document;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.StoreConflictException;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreOutcomeUnknownException;
import org.aspenmoor.internal.store.StoredObject;

/** Earlier revisions of documents, one store object each; the oldest are dropped. */
public final class DocumentHistory {
    /** How many revisions of a document are kept. */
    public static final int REVISIONS_KEPT = 200;

    private static final int MAX_ATTEMPTS = 3;

    private final ObjectStore store;

    public DocumentHistory(ObjectStore store) {
        this.store = store;
    }

    /** Reads one revision; empty where it never was or is no longer kept. */
    public Optional<StoredDocument> read(ServiceName name, long revision) throws StoreException {
        Optional<StoredObject> object = store.read(StoredDocumentCodec.revisionKey(name, revision));
        return object.isEmpty() ? Optional.empty() : Optional.of(StoredDocumentCodec.read(object.get()));
    }

    /**
     * Returns the latest revisions, newest first.
     *
     * <p>The document in force stands for its own revision, whose history object may not be written yet.
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

    /** Writes a document's revision into the history unless it stands there. */
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
                // A second create writes nothing new: it conflicts where the first took effect.
                if (attempt == MAX_ATTEMPTS) {
                    throw outcomeUnknown;
                }
            }
        }
    }

    /** Drops the revision that has become too old, if it is there. */
    void removeOutdated(StoredDocument newest) throws StoreException {
        long revision = newest.document().revision() - REVISIONS_KEPT;
        if (revision <= 0) {
            return;
        }
        ServiceName name = ServiceName.of(newest.document());
        Optional<StoredObject> old = store.read(StoredDocumentCodec.revisionKey(name, revision));
        if (old.isPresent()) {
            store.delete(old.get());
        }
    }
}
