package org.aspenmoor.internal.agent;

import java.nio.ByteBuffer;
import java.util.List;

/** Reads a backend server's answer into pieces. */
interface AnswerDecoder {
    /** Reads what has arrived. */
    List<AnswerPiece> decode(List<ByteBuffer> buffers) throws AnswerMalformedException;

    /** Judges the answer once its connection has ended in order. */
    CallEnd end();
}
