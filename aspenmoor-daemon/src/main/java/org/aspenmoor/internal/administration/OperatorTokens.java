package org.aspenmoor.internal.administration;

import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;

/** Finds the operator who holds a token. */
public final class OperatorTokens {
    private static final String SCHEME = "Bearer ";

    private final List<Operator> operators;

    public OperatorTokens(List<Operator> operators) {
        this.operators = List.copyOf(operators);
    }

    /** Returns the operator of an {@code Authorization} header; empty where the token is missing or unknown. */
    public Optional<Operator> find(Optional<String> authorization) {
        if (authorization.isEmpty() || !authorization.get().startsWith(SCHEME)) {
            return Optional.empty();
        }
        byte[] hash =
                TokenHash.bytes(authorization.get().substring(SCHEME.length()).strip());
        Optional<Operator> found = Optional.empty();
        // Every hash is compared in constant time, so that the time taken tells nothing about them.
        for (Operator operator : operators) {
            byte[] expected = HexFormat.of().parseHex(operator.tokenHash());
            if (MessageDigest.isEqual(hash, expected)) {
                found = Optional.of(operator);
            }
        }
        return found;
    }
}
