package org.aspenmoor.internal.document;

/** What became of a document that was offered to the registry. */
public enum OfferResult {
    /** Its revision is higher; it is in force now. */
    APPLIED,
    /** It is the one in force. */
    ALREADY_HELD,
    /** Its revision is lower than the one in force; nothing changed. */
    OLDER,
    /** It has the revision in force and another content: somebody wrote past the conditional update. Nothing changed. */
    CONTRADICTS
}
