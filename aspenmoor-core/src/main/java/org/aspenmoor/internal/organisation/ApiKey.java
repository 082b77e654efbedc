package org.aspenmoor.internal.organisation;

import java.util.Objects;

/** The secret by which a caller's organisation is recognised. Its text never appears in logs, dumps or messages. */
public final class ApiKey {
    private final String secret;

    public ApiKey(String secret) {
        this.secret = Objects.requireNonNull(secret);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ApiKey key && key.secret.equals(secret);
    }

    @Override
    public int hashCode() {
        return secret.hashCode();
    }

    /** Returns a text without the secret, since keys are parts of objects that are logged. */
    @Override
    public String toString() {
        return "ApiKey[secret]";
    }
}
