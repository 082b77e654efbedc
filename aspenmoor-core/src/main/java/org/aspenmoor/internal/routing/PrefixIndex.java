package org.aspenmoor.internal.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Remembers which engines probably hold which cache pieces: a hint, bounded, never an authority.
 *
 * <p>Cache events arrive late and with gaps. After a gap the engine may have dropped pieces unnoticed, and requests
 * routed by the old entries would compute their whole prompt on a busy engine; one would notice a falling hit rate on one
 * engine. So a gap ages every entry of the engine at once: aged entries count for half, and only a new event, a
 * snapshot or an own send renews them. A second gap forgets them.
 */
final class PrefixIndex {
    private final int maxBlocks;
    private final Map<String, CacheEventSequence> states = new HashMap<>();
    private final LinkedHashMap<Long, BlockHolders> holdersByBlock = new LinkedHashMap<>(16, 0.75F, true);

    private PrefixChain lastPrefix;
    private BlockHolders lastFirstBlockHolders;

    PrefixIndex(int maxBlocks) {
        this.maxBlocks = maxBlocks;
    }

    /** Applies an event; answers whether a gap showed before it, so that a snapshot is worth asking for. */
    boolean apply(String engine, long sequence, CacheEvent event) {
        CacheEventSequence state = states.computeIfAbsent(engine, name -> new CacheEventSequence());
        if (state.isStale(sequence)) {
            return false;
        }
        boolean gap = state.advanceTo(sequence);
        switch (event) {
            case CacheEvent.Stored stored -> stored.hashes().forEach(hash -> addHolder(hash, engine, state.generation()));
            case CacheEvent.Removed removed -> removed.hashes().forEach(hash -> removeHolder(hash, engine));
            case CacheEvent.Cleared cleared -> state.invalidateAll();
        }
        return gap;
    }

    /** Notes that a request with this prefix was sent to the engine, which will then hold it. */
    void recordSent(String engine, PrefixChain prefix) {
        CacheEventSequence state = states.computeIfAbsent(engine, name -> new CacheEventSequence());
        for (int block = 0; block < prefix.length(); block++) {
            addHolder(prefix.hash(block), engine, state.generation());
        }
    }

    void removeEngine(String engine) {
        states.remove(engine);
    }

    /** Returns the engines that may hold the longest known part of the prefix. */
    List<String> holders(PrefixChain prefix) {
        for (int block = prefix.length() - 1; block >= 0; block--) {
            BlockHolders holders = holdersByBlock.get(prefix.hash(block));
            if (holders != null && !holders.engines().isEmpty()) {
                return holders.engines();
            }
        }
        return List.of();
    }

    /** Returns how many tokens of the prefix the engine is believed to hold; aged belief counts for half. */
    int cachedTokens(String engine, PrefixChain prefix, int blockTokens) {
        if (!mayHoldFirstBlock(engine, prefix)) {
            return 0;
        }
        CacheEventSequence state = states.get(engine);
        if (state == null) {
            return 0;
        }
        int heldBlocks = 0;
        boolean aged = false;
        while (heldBlocks < prefix.length()) {
            BlockHolders holders = holdersByBlock.get(prefix.hash(heldBlocks));
            long generation = holders == null ? -1 : holders.generationOf(engine);
            if (!state.trusts(generation)) {
                break;
            }
            aged |= generation < state.generation();
            heldBlocks++;
        }
        int tokens = heldBlocks == 0 ? 0 : prefix.tokensCovered(heldBlocks, blockTokens);
        return aged ? tokens / 2 : tokens;
    }

    /** Most candidates hold nothing of a prefix; one look at its first piece, kept between candidates, tells. */
    private boolean mayHoldFirstBlock(String engine, PrefixChain prefix) {
        if (prefix.length() == 0) {
            return false;
        }
        if (prefix != lastPrefix) {
            lastPrefix = prefix;
            lastFirstBlockHolders = holdersByBlock.get(prefix.hash(0));
        }
        return lastFirstBlockHolders != null && lastFirstBlockHolders.generationOf(engine) >= 0;
    }

    int size() {
        return holdersByBlock.size();
    }

    private void addHolder(long hash, String engine, long generation) {
        lastPrefix = null;
        holdersByBlock.computeIfAbsent(hash, unknown -> new BlockHolders()).put(engine, generation);
        if (holdersByBlock.size() > maxBlocks) {
            holdersByBlock.pollFirstEntry();
        }
    }

    private void removeHolder(long hash, String engine) {
        lastPrefix = null;
        BlockHolders holders = holdersByBlock.get(hash);
        if (holders == null) {
            return;
        }
        holders.remove(engine);
        if (holders.engines().isEmpty()) {
            holdersByBlock.remove(hash);
        }
    }
}
