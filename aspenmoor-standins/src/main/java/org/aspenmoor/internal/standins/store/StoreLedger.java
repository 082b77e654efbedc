package org.aspenmoor.internal.standins.store;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;
import org.aspenmoor.internal.standins.http.Json;

/** Counts the calls to the store and their results. */
final class StoreLedger {
    private final Map<String, Long> writesByResource = new TreeMap<>();
    private long reads;
    private long writes;
    private long watchesOpened;
    private long watchesWaiting;
    private long maxWatchesWaiting;
    private long conflicts;
    private long overLimit;
    private long refusedInOutage;
    private long answersLost;
    private long currentSecond;
    private long callsThisSecond;
    private long maxCallsInOneSecond;

    synchronized void recordRead(long nowSecond) {
        reads++;
        countCall(nowSecond);
    }

    synchronized void recordWrite(long nowSecond, String resource) {
        writes++;
        writesByResource.merge(resource, 1L, Long::sum);
        countCall(nowSecond);
    }

    synchronized void recordWatchOpened(long nowSecond) {
        watchesOpened++;
        watchesWaiting++;
        maxWatchesWaiting = Math.max(maxWatchesWaiting, watchesWaiting);
        countCall(nowSecond);
    }

    synchronized void recordWatchEnded() {
        watchesWaiting--;
    }

    synchronized void recordConflict() {
        conflicts++;
    }

    synchronized void recordOverLimit() {
        overLimit++;
    }

    synchronized void recordRefusedInOutage() {
        refusedInOutage++;
    }

    synchronized void recordAnswerLost() {
        answersLost++;
    }

    synchronized ObjectNode toJson() {
        ObjectNode root = Json.object();
        root.put("reads", reads);
        root.put("writes", writes);
        root.put("watchesOpened", watchesOpened);
        root.put("watchesWaiting", watchesWaiting);
        root.put("mostWatchesWaiting", maxWatchesWaiting);
        root.put("conflicts", conflicts);
        root.put("overLimit", overLimit);
        root.put("refusedInOutage", refusedInOutage);
        root.put("answersLost", answersLost);
        root.put("mostCallsInOneSecond", maxCallsInOneSecond);
        ObjectNode byResource = root.putObject("writesByResource");
        writesByResource.forEach(byResource::put);
        return root;
    }

    private void countCall(long nowSecond) {
        if (nowSecond != currentSecond) {
            currentSecond = nowSecond;
            callsThisSecond = 0;
        }
        callsThisSecond++;
        maxCallsInOneSecond = Math.max(maxCallsInOneSecond, callsThisSecond);
    }
}
