package org.aspenmoor.internal.claim;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.StoredObject;

/** A bounded cache of the claim buckets that this process wrote most recently, so that an uncontended commit needs no read. */
final class BucketCache {
    private static final int MAX_OBJECTS = 64;
    private static final int MAX_CHARACTERS_PER_OBJECT = 100_000;
    private static final float LOAD_FACTOR = 0.75f;

    private final Map<ObjectKey, CachedBucket> objects = new LinkedHashMap<>(MAX_OBJECTS, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<ObjectKey, CachedBucket> eldest) {
            return size() > MAX_OBJECTS;
        }
    };

    Optional<CachedBucket> find(ObjectKey key) {
        return Optional.ofNullable(objects.get(key));
    }

    void put(ObjectKey key, StoredObject stored, ClaimBucket bucket) {
        if (stored.value().length() <= MAX_CHARACTERS_PER_OBJECT) {
            objects.put(key, new CachedBucket(Optional.of(stored), bucket));
        } else {
            objects.remove(key);
        }
    }

    void invalidate(ObjectKey key) {
        objects.remove(key);
    }

    /** A stored object and the bucket it contains; the object is empty if it does not exist yet. */
    record CachedBucket(Optional<StoredObject> stored, ClaimBucket bucket) {}
}
