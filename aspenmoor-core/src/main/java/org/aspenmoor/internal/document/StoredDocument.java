package org.aspenmoor.internal.document;

import java.util.Optional;
import org.aspenmoor.internal.store.StoredObject;

/**
 * A document as the store holds it.
 *
 * @param object the object it was read from
 * @param document the document
 * @param acceptance how it was accepted; empty for one that was written past the administration API
 */
public record StoredDocument(StoredObject object, ServiceDocument document, Optional<Acceptance> acceptance) {
    /** Says whether this is the object that the acceptance with the given nonce wrote. */
    boolean isFrom(String nonce) {
        return acceptance.filter(accepted -> accepted.nonce().equals(nonce)).isPresent();
    }
}
