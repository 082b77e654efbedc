package org.aspenmoor.internal.document;

/**
 * A change that an operator asks for.
 *
 * @param name the service
 * @param text the whole new document, JSON with comments
 * @param readRevision the revision that the operator changed; 0 for a service without a document
 * @param operator who asks
 */
public record DocumentProposal(ServiceName name, String text, long readRevision, String operator) {}
