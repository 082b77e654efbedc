package org.aspenmoor.internal.settings;

/**
 * Who may use the administration API.
 *
 * @param name who it is, for the record of changes
 * @param tokenHash SHA-256 of the token, in hexadecimal
 * @param scope a team's name, or {@code platform} for all
 */
public record OperatorSettings(String name, String tokenHash, String scope) {}
