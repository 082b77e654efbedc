package org.aspenmoor.internal.serving.freshness;

import java.util.HashMap;
import java.util.Map;
import org.aspenmoor.internal.dissemination.StableHash;

/**
 * A digest of a collection's content that does not depend on the order of its objects. A change costs one hash, however
 * many objects there are. Confined to one thread.
 */
public final class CollectionDigest {
    private final Map<String, Long> hashes = new HashMap<>();
    private long sum;

    /** Adds or replaces an object, given the hash of the part of it that counts. */
    public void put(String id, long contentHash) {
        long hash = StableHash.combine(StableHash.of(id), contentHash);
        Long previous = hashes.put(id, hash);
        sum += hash - (previous == null ? 0 : previous);
    }

    /** Removes an object. */
    public void remove(String id) {
        Long previous = hashes.remove(id);
        sum -= previous == null ? 0 : previous;
    }

    /** Returns the digest. */
    public long value() {
        return StableHash.combine(sum, hashes.size());
    }
}
