package org.aspenmoor.internal.entry;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.aspenmoor.internal.digest.Sha256;
import org.aspenmoor.internal.routing.PrefixChain;

/**
 * Hashes the prefix of a prompt per cache piece, so that prompts with a common prefix can be routed to the same engine.
 */
public final class PromptPrefix {
    private static final int PIECE_TOKENS = 2000;
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int PIECE_CHARACTERS = PIECE_TOKENS * CHARACTERS_PER_TOKEN;

    private PromptPrefix() {}

    /** Returns the hash chain of the complete pieces of a prompt. */
    public static PrefixChain of(String prompt) {
        int pieces = prompt.length() / PIECE_CHARACTERS;
        if (pieces == 0) {
            return PrefixChain.none();
        }
        long[] hashes = new long[pieces];
        MessageDigest digest = Sha256.create();
        for (int piece = 0; piece < pieces; piece++) {
            int start = piece * PIECE_CHARACTERS;
            digest.update(prompt.substring(start, start + PIECE_CHARACTERS).getBytes(StandardCharsets.UTF_8));
            hashes[piece] = ByteBuffer.wrap(copyOf(digest).digest()).getLong();
        }
        return PrefixChain.of(pieces * PIECE_TOKENS, hashes);
    }

    private static MessageDigest copyOf(MessageDigest digest) {
        try {
            return (MessageDigest) digest.clone();
        } catch (CloneNotSupportedException missing) {
            throw new IllegalStateException("the SHA-256 implementation of this platform cannot be cloned", missing);
        }
    }
}
