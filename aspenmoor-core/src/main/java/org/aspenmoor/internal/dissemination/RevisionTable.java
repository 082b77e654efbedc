package org.aspenmoor.internal.dissemination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The documents a process knows; an entry is only ever replaced by a newer one. */
public final class RevisionTable {
    /** How many buckets a table's digest has. */
    public static final int BUCKETS = 64;

    private final Map<DocumentKey, Entry> entries = new HashMap<>();
    private final List<Map<DocumentKey, RevisionLine>> linesByBucket = new ArrayList<>();
    private final long[] bucketHashes = new long[BUCKETS];
    private long rootHash;
    private long conflictingContents;

    public RevisionTable() {
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            linesByBucket.add(new HashMap<>());
        }
    }

    /** Takes the document if it is newer than the known one; says whether it was taken. */
    public boolean offer(KnownDocument document) {
        RevisionLine line = document.line();
        Entry known = entries.get(document.key());
        if (known != null && known.line.revision() == line.revision() && !known.line.equals(line)) {
            conflictingContents++;
        }
        if (known != null && !line.isNewerThan(known.line)) {
            return false;
        }
        if (known != null) {
            toggle(known.line);
        }
        toggle(line);
        entries.put(document.key(), new Entry(document, line));
        linesByBucket.get(bucketOf(document.key())).put(document.key(), line);
        return true;
    }

    /** Returns the known revision of a document. */
    public Optional<KnownDocument> find(DocumentKey key) {
        return Optional.ofNullable(entries.get(key)).map(Entry::document);
    }

    /** Returns the line of the known revision of a document. */
    public Optional<RevisionLine> findLine(DocumentKey key) {
        return Optional.ofNullable(entries.get(key)).map(Entry::line);
    }

    /** Returns the documents of which a revision is known. */
    public Set<DocumentKey> keys() {
        return Set.copyOf(entries.keySet());
    }

    /** Says whether the line names something newer than what is known. */
    public boolean isOlderThan(RevisionLine line) {
        Entry known = entries.get(line.key());
        return known == null || line.isNewerThan(known.line);
    }

    /** Returns how many documents are known. */
    public int size() {
        return entries.size();
    }

    /** Returns the hash over all lines; equal hashes mean equal tables. */
    public long rootHash() {
        return rootHash;
    }

    /** Returns the hash of each bucket. */
    public List<Long> bucketHashes() {
        List<Long> hashes = new ArrayList<>(BUCKETS);
        for (long hash : bucketHashes) {
            hashes.add(hash);
        }
        return hashes;
    }

    /** Returns the lines of one bucket. */
    public Collection<RevisionLine> lines(int bucket) {
        return List.copyOf(linesByBucket.get(bucket).values());
    }

    /** Counts how often two contents were met under one revision; anything but 0 means the store lost a write. */
    public long conflictingContents() {
        return conflictingContents;
    }

    /** Returns the bucket a document falls into. */
    public static int bucketOf(DocumentKey key) {
        return (int) Long.remainderUnsigned(key.stableHash(), BUCKETS);
    }

    private void toggle(RevisionLine line) {
        long hash = line.digestHash();
        bucketHashes[bucketOf(line.key())] ^= hash;
        rootHash ^= hash;
    }

    private record Entry(KnownDocument document, RevisionLine line) {}
}
