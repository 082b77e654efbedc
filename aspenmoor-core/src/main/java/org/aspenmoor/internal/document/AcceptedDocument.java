package org.aspenmoor.internal.document;

/**
 * The result of an accepted change.
 *
 * @param stored the document as it stands in the store
 * @param difference what changed; empty where the document declared the same before and no revision was counted
 * @param historyRecorded whether the revision stands in the history already; the next change records it otherwise
 */
public record AcceptedDocument(StoredDocument stored, DocumentDifference difference, boolean historyRecorded) {}
