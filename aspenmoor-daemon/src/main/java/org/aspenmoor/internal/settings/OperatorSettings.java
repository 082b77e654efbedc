package org.aspenmoor.internal.settings;

/**
 * An operator who may use the administration API.
 *
 * @param name name recorded with the operator's changes
 * @param tokenHash SHA-256 hash of the token, in hexadecimal
 * @param scope name of a team, or {@code platform} for access to all teams
 */
public record OperatorSettings(String name, String tokenHash, String scope) {}
