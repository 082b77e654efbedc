package org.aspenmoor.internal.document;

/**
 * The result of an accepted change.
 *
 * @param stored the document as stored
 * @param difference what changed; empty if the declaration was the same before, so that no new revision was created
 * @param historyRecorded whether the revision is already in the history; if not, the next change records it
 */
public record AcceptedDocument(StoredDocument stored, DocumentDifference difference, boolean historyRecorded) {}
