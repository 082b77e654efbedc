package org.aspenmoor.internal.daemon.dissemination;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Bytes shortened for the way; documents are JSON that repeats its field names for every engine.
 *
 * @param bytes what is sent
 * @param inflatedLength how long it was; 0 where it is sent as it was
 */
record DeflatedContent(ByteString bytes, int inflatedLength) {
    /** The store's own limit on a value; nothing longer was ever a document. */
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

    /** Returns the plain bytes; empty where the lengths do not fit, as in a frame that was tampered with. */
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
