package org.aspenmoor.internal.administration;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.aspenmoor.internal.digest.Sha256;

/** Computes hashes of tokens as stored in settings and documents. */
public final class TokenHash {
    private TokenHash() {}

    /** Returns the SHA-256 hash of a token in hexadecimal. */
    public static String of(String token) {
        return HexFormat.of().formatHex(Sha256.create().digest(token.getBytes(StandardCharsets.UTF_8)));
    }
}
