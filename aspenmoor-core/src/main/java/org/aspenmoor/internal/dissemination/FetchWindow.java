package org.aspenmoor.internal.dissemination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The documents to fetch because a peer has a newer revision. Limits how many fetches are outstanding and how many wait.
 *
 * <p>Documents beyond the limits are dropped; the next comparison reports them again.
 */
final class FetchWindow {
    private final ExchangeSettings settings;
    private final Map<DocumentKey, String> waiting = new LinkedHashMap<>();
    private final Map<DocumentKey, Long> outstanding = new HashMap<>();

    FetchWindow(ExchangeSettings settings) {
        this.settings = settings;
    }

    /** Adds a document of which a peer has a newer revision; ignored if it is already requested or too many wait. */
    void enqueue(DocumentKey key, String peer) {
        if (outstanding.containsKey(key) || waiting.size() >= settings.maxWaitingFetches()) {
            return;
        }
        waiting.putIfAbsent(key, peer);
    }

    /** Marks as many waiting fetches as the limit allows as outstanding and returns them for sending. */
    List<PendingFetch> startFetches(long now) {
        List<PendingFetch> started = new ArrayList<>();
        Iterator<Map.Entry<DocumentKey, String>> iterator = waiting.entrySet().iterator();
        while (iterator.hasNext() && outstanding.size() < settings.maxOutstandingFetches()) {
            Map.Entry<DocumentKey, String> fetch = iterator.next();
            iterator.remove();
            outstanding.put(fetch.getKey(), now);
            started.add(new PendingFetch(fetch.getKey(), fetch.getValue()));
        }
        return started;
    }

    /** Records that a document was received; returns whether it had been requested. */
    boolean complete(DocumentKey key) {
        waiting.remove(key);
        return outstanding.remove(key) != null;
    }

    /** Removes outstanding fetches that were not answered within the timeout. */
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
     * A document to fetch.
     *
     * @param key the document
     * @param peer the process that has it
     */
    record PendingFetch(DocumentKey key, String peer) {}
}
