package org.aspenmoor.internal.administration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Finds operators by their tokens. */
public final class OperatorTokens {
    private static final String BEARER_PREFIX = "Bearer ";

    private final List<Operator> operators;

    public OperatorTokens(List<Operator> operators) {
        this.operators = List.copyOf(operators);
    }

    /** Returns the operator of an {@code Authorization} header; empty if the token is missing or unknown. */
    public Optional<Operator> find(Optional<String> authorization) {
        if (authorization.isEmpty() || !authorization.get().startsWith(BEARER_PREFIX)) {
            return Optional.empty();
        }
        byte[] hash = bytes(TokenHash.of(
                authorization.get().substring(BEARER_PREFIX.length()).strip()));
        Optional<Operator> found = Optional.empty();
        // All hashes are compared, each in constant time, so that the duration reveals nothing about them.
        for (Operator operator : operators) {
            if (MessageDigest.isEqual(hash, bytes(operator.tokenHash().toLowerCase(Locale.ROOT)))) {
                found = Optional.of(operator);
            }
        }
        return found;
    }

    private static byte[] bytes(String hash) {
        return hash.getBytes(StandardCharsets.US_ASCII);
    }
}
