package org.aspenmoor.internal.agent;

/**
 * A piece of an answer, as received from the backend server.
 *
 * @param data the bytes
 * @param tokens the number of tokens in the piece; 0 for plain services
 */
record AnswerPiece(byte[] data, int tokens) {}
