package org.aspenmoor.internal.standins.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Simulated prefix cache with eviction of the least recently used pieces.
 *
 * <p>A piece covers a fixed number of tokens and is identified by the hash of the complete prompt up to its end.
 */
final class PrefixCache {
    static final int TOKENS_PER_PIECE = 16;

    private static final int CHARACTERS_PER_PIECE = 64;
    private static final int MAX_EVENTS = 10_000;
    /** One event is dropped in each interval of this many, because real engines publish events with gaps. */
    private static final int LOST_EVENT_INTERVAL = 97;

    private final int maxPieces;
    private final Map<Long, Boolean> pieces = new LinkedHashMap<>(16, 0.75f, true);
    private final Deque<CacheEvent> events = new ArrayDeque<>();
    private long sequence;

    PrefixCache(int mostPieces) {
        this.maxPieces = mostPieces;
    }

    /** Returns the hashes that identify the pieces of a prompt. */
    static List<Long> piecesOf(String model, String prompt) {
        List<Long> names = new ArrayList<>();
        long hash = model.hashCode();
        for (int index = 0; index < prompt.length(); index++) {
            hash = hash * 31 + prompt.charAt(index);
            if ((index + 1) % CHARACTERS_PER_PIECE == 0) {
                names.add(hash);
            }
        }
        return names;
    }

    /** Returns the number of tokens at the start of the prompt that are cached. */
    synchronized int cachedPrefixTokens(List<Long> names) {
        int cachedTokens = 0;
        for (Long name : names) {
            if (pieces.get(name) == null) {
                break;
            }
            cachedTokens += TOKENS_PER_PIECE;
        }
        return cachedTokens;
    }

    synchronized void add(List<Long> names) {
        for (Long name : names) {
            if (pieces.put(name, Boolean.TRUE) == null) {
                publish(CacheEvent.Type.STORED, name);
            }
        }
        while (pieces.size() > maxPieces) {
            Long leastRecentlyUsed = pieces.keySet().iterator().next();
            pieces.remove(leastRecentlyUsed);
            publish(CacheEvent.Type.REMOVED, leastRecentlyUsed);
        }
    }

    synchronized int usedPieces() {
        return pieces.size();
    }

    int maxPieces() {
        return maxPieces;
    }

    synchronized List<CacheEvent> eventsAfter(long after) {
        return events.stream().filter(event -> event.sequence() > after).toList();
    }

    private void publish(CacheEvent.Type type, long piece) {
        sequence++;
        if (sequence % LOST_EVENT_INTERVAL == 0) {
            return;
        }
        events.addLast(new CacheEvent(sequence, type, piece));
        if (events.size() > MAX_EVENTS) {
            events.removeFirst();
        }
    }
}
