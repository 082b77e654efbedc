package org.aspenmoor.internal.document;

/**
 * A document with the places of its fields in the text it was read from.
 *
 * @param document what was read
 * @param places where each field stands
 */
public record LocatedDocument(ServiceDocument document, PlaceIndex places) {}
