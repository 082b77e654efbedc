package org.aspenmoor.internal.agent;

/**
 * A piece of an answer as the backend server gave it.
 *
 * @param data its bytes
 * @param tokens how many tokens it holds; 0 for plain services
 */
record AnswerPiece(byte[] data, int tokens) {}
