package org.aspenmoor.internal.routing;

import java.util.Arrays;

/**
 * The start of a prompt that other prompts may share, as hashes of its cache pieces.
 *
 * <p>Each hash covers its piece and all pieces before it, so that equal hashes mean equal starts.
 */
public final class PrefixChain {
    private static final PrefixChain NONE = new PrefixChain(new long[0], 0);

    private final long[] hashes;
    private final int tokens;

    private PrefixChain(long[] hashes, int tokens) {
        this.hashes = hashes;
        this.tokens = tokens;
    }

    /** Returns a chain of the given piece hashes that together cover so many tokens. */
    public static PrefixChain of(int tokens, long... hashes) {
        return new PrefixChain(hashes.clone(), tokens);
    }

    /** Returns the chain of a prompt that shares nothing. */
    public static PrefixChain none() {
        return NONE;
    }

    /** Returns how many pieces the chain has. */
    public int length() {
        return hashes.length;
    }

    /** Returns the hash of one piece. */
    public long hash(int block) {
        return hashes[block];
    }

    /** Returns how many tokens the first pieces cover. */
    public int tokensCovered(int blocks, int blockTokens) {
        return blocks >= hashes.length ? tokens : Math.min(tokens, blocks * blockTokens);
    }

    @Override
    public String toString() {
        return tokens + " tokens in " + Arrays.toString(hashes);
    }
}
