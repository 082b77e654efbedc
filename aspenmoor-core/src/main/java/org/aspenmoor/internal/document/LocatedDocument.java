package org.aspenmoor.internal.document;

/**
 * A document with the places of its fields in the text it was read from.
 *
 * @param document what was read
 * @param locations where each field stands
 */
public record LocatedDocument(ServiceDocument document, LocationIndex locations) {}
