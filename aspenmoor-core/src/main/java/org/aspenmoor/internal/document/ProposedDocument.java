package org.aspenmoor.internal.document;

/**
 * The result of a proposal that was checked but not written.
 *
 * @param document the document that would be accepted
 * @param currentRevision the revision in force, on which the change is based
 * @param difference what would change
 */
public record ProposedDocument(ServiceDocument document, long currentRevision, DocumentDifference difference) {}
