package org.aspenmoor.internal.administration;

import org.aspenmoor.internal.document.DocumentRegistry;
import org.aspenmoor.internal.document.OfferResult;
import org.aspenmoor.internal.document.ServiceDocument;
import org.aspenmoor.internal.document.StoredDocuments;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.StoreMalformedException;
import org.aspenmoor.internal.store.StoredObject;
import org.jboss.logging.Logger;

/** Offers documents that a watch of the store brings to the registry that the administration API shows. */
public final class DocumentFeed {
    private static final Logger LOG = Logger.getLogger("administration");

    private final DocumentRegistry registry;

    public DocumentFeed(DocumentRegistry registry) {
        this.registry = registry;
    }

    /** Takes an object that was created or replaced; objects of other kinds are passed over. */
    public void changed(StoredObject object) {
        if (object.key().kind() != ObjectKind.DOCUMENT) {
            return;
        }
        try {
            ServiceDocument document = StoredDocuments.read(object).document();
            if (registry.offer(document) == OfferResult.CONTRADICTS) {
                LOG.errorf(
                        "administration: %s has another content under revision %d, kept the first",
                        object.key(), document.revision());
            }
        } catch (StoreMalformedException unusable) {
            LOG.warnf("administration: %s", unusable.problem());
        }
    }
}
