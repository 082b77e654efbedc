package org.aspenmoor.internal.daemon.dissemination;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Content compressed for transfer; documents are JSON, which repeats its field names for every engine.
 *
 * @param bytes the bytes to send
 * @param inflatedLength uncompressed length in bytes; 0 if the content is sent uncompressed
 */
record DeflatedContent(ByteString bytes, int inflatedLength) {
    /** The store's limit on the size of a value, which no document exceeds. */
    private static final int MAX_DOCUMENT_BYTES = 1024 * 1024;

    static DeflatedContent of(byte[] uncompressed) {
        Deflater deflater = new Deflater(Deflater.BEST_COMPRESSION, true);
        try {
            deflater.setInput(uncompressed);
            deflater.finish();
            byte[] compressed = new byte[uncompressed.length];
            int length = deflater.deflate(compressed);
            return deflater.finished() && length < uncompressed.length
                    ? new DeflatedContent(ByteString.copyFrom(compressed, 0, length), uncompressed.length)
                    : new DeflatedContent(ByteString.copyFrom(uncompressed), 0);
        } finally {
            deflater.end();
        }
    }

    /** Returns the uncompressed bytes; empty if the data or its length is invalid, as in a corrupted frame. */
    Optional<byte[]> inflate() {
        if (inflatedLength == 0) {
            return Optional.of(bytes.toByteArray());
        }
        if (inflatedLength < 0 || inflatedLength > MAX_DOCUMENT_BYTES) {
            return Optional.empty();
        }
        Inflater inflater = new Inflater(true);
        try {
            inflater.setInput(bytes.toByteArray());
            byte[] uncompressed = new byte[inflatedLength];
            int length = inflater.inflate(uncompressed);
            return length == inflatedLength ? Optional.of(uncompressed) : Optional.empty();
        } catch (DataFormatException malformed) {
            return Optional.empty();
        } finally {
            inflater.end();
        }
    }
}
