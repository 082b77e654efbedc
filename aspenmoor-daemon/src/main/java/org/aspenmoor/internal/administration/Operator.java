package org.aspenmoor.internal.administration;

/**
 * An operator who may use the administration API.
 *
 * @param name name recorded with the operator's changes
 * @param tokenHash SHA-256 hash of the token, in hexadecimal; the token itself is not stored
 * @param scope services that the operator may see and change
 */
public record Operator(String name, String tokenHash, OperatorScope scope) {}
