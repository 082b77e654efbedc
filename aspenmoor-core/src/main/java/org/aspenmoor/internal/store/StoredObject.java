package org.aspenmoor.internal.store;

/**
 * One object as read from the store.
 *
 * @param key the key of the object
 * @param version the version that the store assigned; opaque, compared only for equality
 * @param value the content, a JSON object
 */
public record StoredObject(ObjectKey key, String version, String value) {}
