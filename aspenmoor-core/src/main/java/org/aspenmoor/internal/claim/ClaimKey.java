package org.aspenmoor.internal.claim;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.aspenmoor.internal.digest.Sha256;

/**
 * The idempotency key of an at-most-once call.
 *
 * @param team the team that owns the service
 * @param service the plain service
 * @param key the caller's idempotency key
 */
public record ClaimKey(String team, String service, String key) {
    private static final int HASH_BYTES = 16;

    /** Returns the hash under which the claim is stored: 32 hexadecimal digits. */
    public String hash() {
        byte[] digest = Sha256.create().digest((service + "\0" + key).getBytes(StandardCharsets.UTF_8));
        return HexFormat.of().formatHex(digest, 0, HASH_BYTES);
    }
}
