package org.aspenmoor.internal.bench.policy.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import org.aspenmoor.internal.routing.PrefixChain;

/** Cached prefixes of an engine, in pieces, with eviction of the least recently used. */
final class PrefixCache {
    private final LinkedHashMap<Long, Boolean> pieces = new LinkedHashMap<>(16, 0.75F, true);

    /** Returns the number of cached tokens of a prefix, and marks its cached pieces as used. */
    int lookUp(PrefixChain prefix, int pieceTokens) {
        int cachedPieces = 0;
        while (cachedPieces < prefix.length() && pieces.get(prefix.hash(cachedPieces)) != null) {
            cachedPieces++;
        }
        return cachedPieces == 0 ? 0 : prefix.tokensCovered(cachedPieces, pieceTokens);
    }

    /** Stores a prefix; returns the hashes of the pieces that were not cached before. */
    List<Long> store(PrefixChain prefix) {
        List<Long> stored = new ArrayList<>();
        for (int piece = 0; piece < prefix.length(); piece++) {
            if (pieces.put(prefix.hash(piece), true) == null) {
                stored.add(prefix.hash(piece));
            }
        }
        return stored;
    }

    /** Evicts the least recently used pieces down to a maximum number; returns the evicted ones. */
    List<Long> shrinkTo(int maxPieces) {
        List<Long> evicted = new ArrayList<>();
        while (pieces.size() > Math.max(0, maxPieces)) {
            evicted.add(pieces.pollFirstEntry().getKey());
        }
        return evicted;
    }

    int size() {
        return pieces.size();
    }

    void clear() {
        pieces.clear();
    }
}
