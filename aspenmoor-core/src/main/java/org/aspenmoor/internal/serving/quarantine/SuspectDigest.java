package org.aspenmoor.internal.serving.quarantine;

import java.nio.ByteBuffer;
import java.util.HexFormat;
import java.util.Optional;

/**
 * A cryptographic digest of what may terminate servers: of the content by which two arrivals count as the same
 * request, or of a part of prompts. It is infeasible to construct a request with the digest of another caller's request.
 *
 * @param high the first half
 * @param low the second half
 */
public record SuspectDigest(long high, long low) {
    /** Length of a digest in bytes. */
    public static final int BYTES = 2 * Long.BYTES;

    /** Returns the digest made of the first {@link #BYTES} bytes; the array must have at least that many. */
    public static SuspectDigest of(byte[] bytes) {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        return new SuspectDigest(buffer.getLong(), buffer.getLong());
    }

    /** Parses the output of {@link #hex()}; empty if the text is not a digest. */
    public static Optional<SuspectDigest> parse(String text) {
        if (text.length() != 2 * BYTES) {
            return Optional.empty();
        }
        try {
            return Optional.of(of(HexFormat.of().parseHex(text)));
        } catch (IllegalArgumentException notHexadecimal) {
            return Optional.empty();
        }
    }

    /** Returns the digest as bytes. */
    public byte[] bytes() {
        return ByteBuffer.allocate(BYTES).putLong(high).putLong(low).array();
    }

    /** Returns the digest as hexadecimal digits. */
    public String hex() {
        return HexFormat.of().formatHex(bytes());
    }
}
