package org.aspenmoor.internal.dissemination;

/** Receives each document that comes into force in this process. */
@FunctionalInterface
public interface InForceListener {
    /** Called when the document has become the newest known revision. */
    void inForce(DocumentRevision document);
}
