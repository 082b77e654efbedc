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
record Deflated(ByteString bytes, int inflatedLength) {
    /** The store's own limit on a value; nothing longer was ever a document. */
    private static final int LONGEST_DOCUMENT = 1024 * 1024;

    static Deflated of(byte[] plain) {
        Deflater deflater = new Deflater(Deflater.BEST_COMPRESSION, true);
        try {
            deflater.setInput(plain);
            deflater.finish();
            byte[] shortened = new byte[plain.length];
            int length = deflater.deflate(shortened);
            return deflater.finished() && length < plain.length
                    ? new Deflated(ByteString.copyFrom(shortened, 0, length), plain.length)
                    : new Deflated(ByteString.copyFrom(plain), 0);
        } finally {
            deflater.end();
        }
    }

    /** Returns the plain bytes; empty where the lengths do not fit, as in a frame that was tampered with. */
    Optional<byte[]> inflate() {
        if (inflatedLength == 0) {
            return Optional.of(bytes.toByteArray());
        }
        if (inflatedLength < 0 || inflatedLength > LONGEST_DOCUMENT) {
            return Optional.empty();
        }
        Inflater inflater = new Inflater(true);
        try {
            inflater.setInput(bytes.toByteArray());
            byte[] plain = new byte[inflatedLength];
            int length = inflater.inflate(plain);
            return length == inflatedLength ? Optional.of(plain) : Optional.empty();
        } catch (DataFormatException malformed) {
            return Optional.empty();
        } finally {
            inflater.end();
        }
    }
}
