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
    private final int mostPieces;
    private final Map<String, SequenceState> states = new HashMap<>();
    private final LinkedHashMap<Long, PieceHolders> pieces = new LinkedHashMap<>(16, 0.75F, true);

    private PrefixChain lastPrefix;
    private PieceHolders lastFirstHolders;

    PrefixIndex(int mostPieces) {
        this.mostPieces = mostPieces;
    }

    /** Applies an event; answers whether a gap showed before it, so that a snapshot is worth asking for. */
    boolean apply(String backend, long sequence, CacheEvent event) {
        SequenceState state = states.computeIfAbsent(backend, name -> new SequenceState());
        if (state.isOld(sequence)) {
            return false;
        }
        boolean gap = state.advanceTo(sequence);
        switch (event) {
            case CacheEvent.Stored stored -> stored.hashes().forEach(hash -> hold(hash, backend, state.generation()));
            case CacheEvent.Removed removed -> removed.hashes().forEach(hash -> drop(hash, backend));
            case CacheEvent.Cleared cleared -> state.forgetAll();
        }
        return gap;
    }

    /** Notes that a request with this prefix was sent to the engine, which will then hold it. */
    void sent(String backend, PrefixChain prefix) {
        SequenceState state = states.computeIfAbsent(backend, name -> new SequenceState());
        for (int piece = 0; piece < prefix.length(); piece++) {
            hold(prefix.hash(piece), backend, state.generation());
        }
    }

    void forget(String backend) {
        states.remove(backend);
    }

    /** Returns the engines that may hold the longest known part of the prefix. */
    List<String> holders(PrefixChain prefix) {
        for (int piece = prefix.length() - 1; piece >= 0; piece--) {
            PieceHolders holders = pieces.get(prefix.hash(piece));
            if (holders != null && !holders.names().isEmpty()) {
                return holders.names();
            }
        }
        return List.of();
    }

    /** Returns how many tokens of the prefix the engine is believed to hold; aged belief counts for half. */
    int cachedTokens(String backend, PrefixChain prefix, int pieceTokens) {
        if (!mayHoldFirstPiece(backend, prefix)) {
            return 0;
        }
        SequenceState state = states.get(backend);
        if (state == null) {
            return 0;
        }
        int held = 0;
        boolean aged = false;
        while (held < prefix.length()) {
            PieceHolders holders = pieces.get(prefix.hash(held));
            long generation = holders == null ? -1 : holders.generationOf(backend);
            if (!state.believes(generation)) {
                break;
            }
            aged |= generation < state.generation();
            held++;
        }
        int tokens = held == 0 ? 0 : prefix.tokensCovered(held, pieceTokens);
        return aged ? tokens / 2 : tokens;
    }

    /** Most candidates hold nothing of a prefix; one look at its first piece, kept between candidates, tells. */
    private boolean mayHoldFirstPiece(String backend, PrefixChain prefix) {
        if (prefix.length() == 0) {
            return false;
        }
        if (prefix != lastPrefix) {
            lastPrefix = prefix;
            lastFirstHolders = pieces.get(prefix.hash(0));
        }
        return lastFirstHolders != null && lastFirstHolders.generationOf(backend) >= 0;
    }

    int size() {
        return pieces.size();
    }

    private void hold(long hash, String backend, long generation) {
        lastPrefix = null;
        pieces.computeIfAbsent(hash, unknown -> new PieceHolders()).put(backend, generation);
        if (pieces.size() > mostPieces) {
            pieces.pollFirstEntry();
        }
    }

    private void drop(long hash, String backend) {
        lastPrefix = null;
        PieceHolders holders = pieces.get(hash);
        if (holders == null) {
            return;
        }
        holders.remove(backend);
        if (holders.names().isEmpty()) {
            pieces.remove(hash);
        }
    }
}
