package org.aspenmoor.internal.dissemination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The documents that are known to exist in a newer revision elsewhere: a few are asked for at once, some more wait.
 *
 * <p>What does not fit is dropped; the next comparison names it again.
 */
final class FetchWindow {
    private final ExchangeSettings settings;
    private final Map<DocumentKey, String> waiting = new LinkedHashMap<>();
    private final Map<DocumentKey, Long> outstanding = new HashMap<>();

    FetchWindow(ExchangeSettings settings) {
        this.settings = settings;
    }

    /** Notes that a peer has a newer revision of a document. */
    void enqueue(DocumentKey key, String peer) {
        if (outstanding.containsKey(key) || waiting.size() >= settings.maxWaitingFetches()) {
            return;
        }
        waiting.putIfAbsent(key, peer);
    }

    /** Takes as many asks as may be sent now. */
    List<PendingFetch> startFetches(long now) {
        List<PendingFetch> started = new ArrayList<>();
        Iterator<Map.Entry<DocumentKey, String>> iterator = waiting.entrySet().iterator();
        while (iterator.hasNext() && outstanding.size() < settings.maxOutstandingFetches()) {
            Map.Entry<DocumentKey, String> next = iterator.next();
            iterator.remove();
            outstanding.put(next.getKey(), now);
            started.add(new PendingFetch(next.getKey(), next.getValue()));
        }
        return started;
    }

    /** Notes that a document arrived; says whether it had been asked for. */
    boolean complete(DocumentKey key) {
        waiting.remove(key);
        return outstanding.remove(key) != null;
    }

    /** Gives up asks that were not answered in time. */
    void expire(long now) {
        long timeout = settings.answerTimeout().toNanos();
        outstanding.values().removeIf(startedAt -> now - startedAt >= timeout);
    }

    boolean isIdle() {
        return waiting.isEmpty() && outstanding.isEmpty();
    }

    int size() {
        return waiting.size() + outstanding.size();
    }

    /**
     * A document to ask for.
     *
     * @param key which document
     * @param peer who has it
     */
    record PendingFetch(DocumentKey key, String peer) {}
}
