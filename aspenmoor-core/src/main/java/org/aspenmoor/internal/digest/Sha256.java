package org.aspenmoor.internal.digest;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Creates SHA-256 digests. */
public final class Sha256 {
    private Sha256() {}

    /** Returns a new digest that has received nothing. */
    public static MessageDigest create() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException(
                    "SHA-256 is not available, although every Java runtime has to provide it.", exception);
        }
    }
}
