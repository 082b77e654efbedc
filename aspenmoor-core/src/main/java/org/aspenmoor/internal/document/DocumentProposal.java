package org.aspenmoor.internal.document;

/**
 * A change of a document proposed by an operator.
 *
 * @param name the service
 * @param text the complete new document, JSON with comments
 * @param readRevision the revision that the change is based on; 0 if the service has no document
 * @param operator the operator who proposes it
 */
public record DocumentProposal(ServiceName name, String text, long readRevision, String operator) {}
