package org.aspenmoor.internal.claim;

import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The claims of one object, while a committer works on them. */
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

    /** Drops claims whose life is over. */
    void removeClaimedBefore(Instant oldest) {
        entries.values().removeIf(entry -> entry.claimedAtSeconds() < oldest.getEpochSecond());
    }

    /** Gives up recorded bodies, oldest first, until the bucket fits; says whether it does. */
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
