package org.aspenmoor.internal.agent;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Passes the answer of a plain service on unchanged. */
final class PlainAnswerDecoder implements AnswerDecoder {
    @Override
    public List<AnswerPiece> decode(List<ByteBuffer> buffers) {
        List<AnswerPiece> pieces = new ArrayList<>();
        for (ByteBuffer buffer : buffers) {
            byte[] data = new byte[buffer.remaining()];
            buffer.get(data);
            if (data.length > 0) {
                pieces.add(new AnswerPiece(data, 0));
            }
        }
        return pieces;
    }

    @Override
    public CallEnd end() {
        return new CallEnd.Complete("");
    }
}
