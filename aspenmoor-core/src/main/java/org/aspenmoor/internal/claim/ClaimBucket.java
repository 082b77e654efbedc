package org.aspenmoor.internal.claim;

import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The claims stored in one object of the store, by key hash. */
final class ClaimBucket {
    private final Map<String, ClaimEntry> entries = new LinkedHashMap<>();

    ClaimBucket(Collection<ClaimEntry> entries) {
        entries.forEach(this::put);
    }

    Optional<ClaimEntry> find(String keyHash) {
        return Optional.ofNullable(entries.get(keyHash));
    }

    void put(ClaimEntry entry) {
        entries.put(entry.keyHash(), entry);
    }

    void remove(String keyHash) {
        entries.remove(keyHash);
    }

    Collection<ClaimEntry> entries() {
        return List.copyOf(entries.values());
    }

    ClaimBucket copy() {
        return new ClaimBucket(entries.values());
    }

    /** Removes claims older than the given time. */
    void removeClaimedBefore(Instant oldest) {
        entries.values().removeIf(entry -> entry.claimedAtSeconds() < oldest.getEpochSecond());
    }

    /** Drops recorded bodies, oldest first, until the bucket is within the limit; returns whether it is. */
    boolean trimTo(int maxCharacters) {
        int size = entries.values().stream()
                .mapToInt(ClaimEntry::estimatedCharacters)
                .sum();
        if (size <= maxCharacters) {
            return true;
        }
        List<ClaimEntry> withBodies = entries.values().stream()
                .filter(entry -> entry.bodyCharacters() > 0)
                .sorted(Comparator.comparingLong(ClaimEntry::claimedAtSeconds))
                .toList();
        for (ClaimEntry entry : withBodies) {
            if (size <= maxCharacters) {
                break;
            }
            size -= entry.bodyCharacters();
            put(entry.withoutBody());
        }
        return size <= maxCharacters;
    }
}
