package org.aspenmoor.internal.serving;

/**
 * The version of the software that a backend server runs; not the version of the weights of its models.
 *
 * <p>Versions are only compared for equality: servers of different versions may serve side by side in any order, and
 * nothing that one version has written can be continued by another.
 *
 * @param name the version's name, as the server states it
 */
public record SoftwareVersion(String name) {}
