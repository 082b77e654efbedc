package org.aspenmoor.internal.routing;

import java.util.Arrays;

/**
 * The prefix of a prompt that other prompts may share, as hashes of its cache blocks.
 *
 * <p>Each hash covers its block and all blocks before it, so equal hashes mean equal prefixes.
 */
public final class PrefixChain {
    private static final PrefixChain NONE = new PrefixChain(new long[0], 0);

    private final long[] hashes;
    private final int tokens;

    private PrefixChain(long[] hashes, int tokens) {
        this.hashes = hashes;
        this.tokens = tokens;
    }

    /** Returns the chain of the given block hashes, which together cover {@code tokens} tokens. */
    public static PrefixChain of(int tokens, long... hashes) {
        return new PrefixChain(hashes.clone(), tokens);
    }

    /** Returns the chain of a prompt without a shared prefix. */
    public static PrefixChain none() {
        return NONE;
    }

    /** Returns the number of blocks. */
    public int length() {
        return hashes.length;
    }

    /** Returns the hash of the block with this index. */
    public long hash(int block) {
        return hashes[block];
    }

    /** Returns how many tokens the first {@code blocks} blocks cover, for blocks of {@code blockTokens} tokens. */
    public int tokensCovered(int blocks, int blockTokens) {
        return blocks >= hashes.length ? tokens : Math.min(tokens, blocks * blockTokens);
    }

    @Override
    public String toString() {
        return tokens + " tokens in " + Arrays.toString(hashes);
    }
}
