package org.aspenmoor.internal.agent;

import java.nio.ByteBuffer;
import java.util.List;

/** Decodes the answer of a backend server into pieces. */
interface AnswerDecoder {
    /** Decodes the received bytes. */
    List<AnswerPiece> decode(List<ByteBuffer> buffers) throws AnswerMalformedException;

    /** Returns how the answer ended, once its connection has ended normally. */
    CallEnd end();
}
