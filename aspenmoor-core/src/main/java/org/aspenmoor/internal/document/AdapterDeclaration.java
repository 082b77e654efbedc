package org.aspenmoor.internal.document;

/**
 * An adapter of a model.
 *
 * @param name its name, unique within the model
 * @param version the version to run
 */
public record AdapterDeclaration(String name, String version) {}
