package org.aspenmoor.internal.serving.origin;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import org.aspenmoor.internal.digest.Sha256;

/**
 * Identifies a stream by a digest of the organisation that it is for and of the id of the request whose answer contained
 * its first event. Ids are chosen by callers: a digest has the same size however long they are, and the same id of
 * another organisation is another stream.
 *
 * @param high the first half of the digest
 * @param low the second half of the digest
 */
public record StreamKey(long high, long low) {
    /** Length of a key in bytes. */
    public static final int BYTES = 2 * Long.BYTES;

    /** Returns the key of a stream whose caller does not state which one it is; no stream that has begun has it. */
    public static StreamKey unstated(String organisation) {
        return of(organisation, "");
    }

    /**
     * Returns the key of a stream.
     *
     * @param organisation the name of the caller's organisation; empty if there is none
     * @param requestId the id of the request whose answer contained the first event
     */
    public static StreamKey of(String organisation, String requestId) {
        byte[] owner = organisation.getBytes(StandardCharsets.UTF_8);
        byte[] id = requestId.getBytes(StandardCharsets.UTF_8);
        // With the length of the first text, two different pairs never give the same input.
        ByteBuffer input = ByteBuffer.allocate(Integer.BYTES + owner.length + id.length)
                .putInt(owner.length)
                .put(owner)
                .put(id)
                .flip();
        MessageDigest digest = Sha256.create();
        digest.update(input);
        return read(ByteBuffer.wrap(digest.digest()));
    }

    /** Returns the key that the bytes contain; empty if they are not of {@link #BYTES}. */
    public static Optional<StreamKey> parse(byte[] bytes) {
        return bytes.length == BYTES ? Optional.of(read(ByteBuffer.wrap(bytes))) : Optional.empty();
    }

    /** Returns the key as bytes. */
    public byte[] bytes() {
        return ByteBuffer.allocate(BYTES).putLong(high).putLong(low).array();
    }

    private static StreamKey read(ByteBuffer bytes) {
        return new StreamKey(bytes.getLong(), bytes.getLong());
    }
}
