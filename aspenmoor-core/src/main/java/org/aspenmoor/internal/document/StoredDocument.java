package org.aspenmoor.internal.document;

import java.util.Optional;
import org.aspenmoor.internal.store.StoredObject;

/**
 * A document as stored.
 *
 * @param object the store object that contains it
 * @param document the document
 * @param acceptance how it was accepted; empty if it was written without the administration API
 */
public record StoredDocument(StoredObject object, ServiceDocument document, Optional<Acceptance> acceptance) {
    /** Returns whether this object was written by the acceptance with the given nonce. */
    boolean isFrom(String nonce) {
        return acceptance.filter(accepted -> accepted.nonce().equals(nonce)).isPresent();
    }
}
