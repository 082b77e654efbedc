package org.aspenmoor.internal.standins.store;

/**
 * The full name of an object.
 *
 * @param resource the plural resource name
 * @param namespace the namespace
 * @param name the name within resource and namespace
 */
record ObjectName(String resource, String namespace, String name) {}
