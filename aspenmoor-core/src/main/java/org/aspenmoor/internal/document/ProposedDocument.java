package org.aspenmoor.internal.document;

/**
 * A checked proposal that was not written.
 *
 * @param document the document as it would be accepted
 * @param currentRevision the revision in force, on which it would be accepted
 * @param difference what it would change
 */
public record ProposedDocument(ServiceDocument document, long currentRevision, DocumentDifference difference) {}
