package org.aspenmoor.internal.administration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes hashes of tokens as stored in settings and documents. */
public final class TokenHash {
    private TokenHash() {}

    /** Returns the SHA-256 hash of a token in hexadecimal. */
    public static String of(String token) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(token.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException("the Java platform does not provide SHA-256", missing);
        }
    }
}
