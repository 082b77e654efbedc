package org.aspenmoor.internal.document;

/** The result of offering a document to the registry. */
public enum OfferResult {
    /** Its revision is higher than the held one; it is now in force. */
    APPLIED,
    /** It is equal to the document in force. */
    ALREADY_HELD,
    /** Its revision is lower than the one in force; nothing changed. */
    OLDER,
    /** It has the revision in force but different content, so a write bypassed the conditional update; nothing changed. */
    CONTRADICTS
}
