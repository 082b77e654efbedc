package org.aspenmoor.internal.dissemination;

/** Hears of each document that has just come into force in this process. */
@FunctionalInterface
public interface InForceListener {
    /** The document is the newest known one from now on. */
    void inForce(DocumentRevision document);
}
