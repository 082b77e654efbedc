package org.aspenmoor.internal.bench.policy.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import org.aspenmoor.internal.routing.PrefixChain;

/** The cached prefixes of one engine, in pieces, the least recently used dropped first. */
final class PrefixCache {
    private final LinkedHashMap<Long, Boolean> pieces = new LinkedHashMap<>(16, 0.75F, true);

    /** Returns how many tokens of the prefix are held, and marks them as used. */
    int lookUp(PrefixChain prefix, int pieceTokens) {
        int cachedPieces = 0;
        while (cachedPieces < prefix.length() && pieces.get(prefix.hash(cachedPieces)) != null) {
            cachedPieces++;
        }
        return cachedPieces == 0 ? 0 : prefix.tokensCovered(cachedPieces, pieceTokens);
    }

    /** Stores a prefix; returns the hashes that were not held before. */
    List<Long> store(PrefixChain prefix) {
        List<Long> stored = new ArrayList<>();
        for (int piece = 0; piece < prefix.length(); piece++) {
            if (pieces.put(prefix.hash(piece), true) == null) {
                stored.add(prefix.hash(piece));
            }
        }
        return stored;
    }

    /** Drops the least recently used pieces until no more than so many are left; returns what was dropped. */
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
