package org.aspenmoor.internal.store;

/**
 * One object as it was read from the store.
 *
 * @param key its name
 * @param version the store's version of it; opaque, compared only for equality
 * @param value its content, a JSON object
 */
public record StoredObject(ObjectKey key, String version, String value) {}
