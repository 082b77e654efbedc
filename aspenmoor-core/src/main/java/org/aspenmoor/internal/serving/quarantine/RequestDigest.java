package org.aspenmoor.internal.serving.quarantine;

import java.nio.ByteBuffer;
import java.util.HexFormat;
import java.util.Optional;

/**
 * A cryptographic digest of what makes two arrivals the same request. Nobody can write a request that has the digest of
 * somebody else's.
 *
 * @param high its first half
 * @param low its second half
 */
public record RequestDigest(long high, long low) {
    /** The length of a digest in bytes. */
    public static final int BYTES = 2 * Long.BYTES;

    /** Makes a digest of the first bytes, of which there are {@link #BYTES} at least. */
    public static RequestDigest of(byte[] bytes) {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        return new RequestDigest(buffer.getLong(), buffer.getLong());
    }

    /** Reads what {@link #text()} wrote; empty where the text is none. */
    public static Optional<RequestDigest> parse(String text) {
        if (text.length() != 2 * BYTES) {
            return Optional.empty();
        }
        try {
            return Optional.of(of(HexFormat.of().parseHex(text)));
        } catch (IllegalArgumentException noHexadecimalDigits) {
            return Optional.empty();
        }
    }

    /** Returns the digest's bytes. */
    public byte[] bytes() {
        return ByteBuffer.allocate(BYTES).putLong(high).putLong(low).array();
    }

    /** Returns the digest in hexadecimal digits. */
    public String text() {
        return HexFormat.of().formatHex(bytes());
    }
}
