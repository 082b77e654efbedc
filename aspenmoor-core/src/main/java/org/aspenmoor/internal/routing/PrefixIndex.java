package org.aspenmoor.internal.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A bounded index of the cache blocks that engines probably hold. Its entries are hints and may be wrong.
 *
 * <p>Cache events arrive late and some get lost. A lost event may have removed blocks, and a request routed by an
 * outdated entry needs a complete prefill on a busy engine, which shows as a falling cache hit rate of that engine.
 * Therefore a gap in the event sequence ages all entries of the engine: aged entries count half, and only a new
 * event, a snapshot or a request sent to the engine renews them. A second gap invalidates them.
 */
final class PrefixIndex {
    private final int maxBlocks;
    private final Map<String, CacheEventSequence> eventSequences = new HashMap<>();
    private final LinkedHashMap<Long, BlockHolders> holdersByBlock = new LinkedHashMap<>(16, 0.75F, true);

    private PrefixChain lastPrefix;
    private BlockHolders lastFirstBlockHolders;

    PrefixIndex(int maxBlocks) {
        this.maxBlocks = maxBlocks;
    }

    /**
     * Applies an event; returns whether events before it were missed, in which case a snapshot should be requested.
     */
    boolean apply(String engine, long sequence, CacheEvent event) {
        CacheEventSequence eventSequence = eventSequences.computeIfAbsent(engine, name -> new CacheEventSequence());
        if (eventSequence.isStale(sequence)) {
            return false;
        }
        boolean gap = eventSequence.advanceTo(sequence);
        switch (event) {
            case CacheEvent.Stored stored ->
                stored.hashes().forEach(hash -> addHolder(hash, engine, eventSequence.generation()));
            case CacheEvent.Removed removed -> removed.hashes().forEach(hash -> removeHolder(hash, engine));
            case CacheEvent.Cleared cleared -> eventSequence.invalidateAll();
        }
        return gap;
    }

    /** Records that a request with this prefix was sent to the engine, which will cache the prefix. */
    void recordSent(String engine, PrefixChain prefix) {
        CacheEventSequence eventSequence = eventSequences.computeIfAbsent(engine, name -> new CacheEventSequence());
        for (int block = 0; block < prefix.length(); block++) {
            addHolder(prefix.hash(block), engine, eventSequence.generation());
        }
    }

    void removeEngine(String engine) {
        eventSequences.remove(engine);
    }

    /** Returns the engines that may hold the last block of the prefix for which any holder is known. */
    List<String> holders(PrefixChain prefix) {
        for (int block = prefix.length() - 1; block >= 0; block--) {
            BlockHolders holders = holdersByBlock.get(prefix.hash(block));
            if (holders != null && !holders.engines().isEmpty()) {
                return holders.engines();
            }
        }
        return List.of();
    }

    /** Returns the estimated number of tokens of the prefix in the cache of the engine; aged entries count half. */
    int cachedTokens(String engine, PrefixChain prefix, int blockTokens) {
        if (!mayHoldFirstBlock(engine, prefix)) {
            return 0;
        }
        CacheEventSequence eventSequence = eventSequences.get(engine);
        if (eventSequence == null) {
            return 0;
        }
        int heldBlocks = 0;
        boolean aged = false;
        while (heldBlocks < prefix.length()) {
            BlockHolders holders = holdersByBlock.get(prefix.hash(heldBlocks));
            long generation = holders == null ? -1 : holders.generationOf(engine);
            if (!eventSequence.trusts(generation)) {
                break;
            }
            aged |= generation < eventSequence.generation();
            heldBlocks++;
        }
        int tokens = heldBlocks == 0 ? 0 : prefix.tokensCovered(heldBlocks, blockTokens);
        return aged ? tokens / 2 : tokens;
    }

    /** Rejects most candidates by the first block, whose holders are cached while the prefix stays the same. */
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
