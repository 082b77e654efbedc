package org.aspenmoor.internal.standins.store;

/**
 * The name of an object.
 *
 * @param resource the plural resource name
 * @param namespace the namespace
 * @param name the name within both
 */
record ObjectName(String resource, String namespace, String name) {}
