package org.aspenmoor.internal.administration;

/**
 * Somebody who may use the administration API.
 *
 * @param name who it is, as the record of changes shows it
 * @param tokenHash SHA-256 of the token, in hexadecimal; the token itself is kept nowhere
 * @param scope what may be seen and changed
 */
public record Operator(String name, String tokenHash, OperatorScope scope) {}
