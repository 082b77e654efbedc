package org.aspenmoor.internal.document;

/**
 * A document with the locations of its fields in the text it was read from.
 *
 * @param document the document
 * @param locations the locations of the fields
 */
public record LocatedDocument(ServiceDocument document, LocationIndex locations) {}
