package org.aspenmoor.internal.standins.store;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;
import org.aspenmoor.internal.standins.http.Json;

/** Counts what the store was asked. */
final class StoreLedger {
    private final Map<String, Long> writesByResource = new TreeMap<>();
    private long reads;
    private long writes;
    private long watchesOpened;
    private long watchesWaiting;
    private long mostWatchesWaiting;
    private long conflicts;
    private long overLimit;
    private long refusedInOutage;
    private long answersLost;
    private long second;
    private long callsThisSecond;
    private long mostCallsInOneSecond;

    synchronized void read(long nowSecond) {
        reads++;
        call(nowSecond);
    }

    synchronized void write(long nowSecond, String resource) {
        writes++;
        writesByResource.merge(resource, 1L, Long::sum);
        call(nowSecond);
    }

    synchronized void watchOpened(long nowSecond) {
        watchesOpened++;
        watchesWaiting++;
        mostWatchesWaiting = Math.max(mostWatchesWaiting, watchesWaiting);
        call(nowSecond);
    }

    synchronized void watchEnded() {
        watchesWaiting--;
    }

    synchronized void conflict() {
        conflicts++;
    }

    synchronized void overLimit() {
        overLimit++;
    }

    synchronized void refusedInOutage() {
        refusedInOutage++;
    }

    synchronized void answerLost() {
        answersLost++;
    }

    synchronized ObjectNode toJson() {
        ObjectNode root = Json.object();
        root.put("reads", reads);
        root.put("writes", writes);
        root.put("watchesOpened", watchesOpened);
        root.put("watchesWaiting", watchesWaiting);
        root.put("mostWatchesWaiting", mostWatchesWaiting);
        root.put("conflicts", conflicts);
        root.put("overLimit", overLimit);
        root.put("refusedInOutage", refusedInOutage);
        root.put("answersLost", answersLost);
        root.put("mostCallsInOneSecond", mostCallsInOneSecond);
        ObjectNode byResource = root.putObject("writesByResource");
        writesByResource.forEach(byResource::put);
        return root;
    }

    private void call(long nowSecond) {
        if (nowSecond != second) {
            second = nowSecond;
            callsThisSecond = 0;
        }
        callsThisSecond++;
        mostCallsInOneSecond = Math.max(mostCallsInOneSecond, callsThisSecond);
    }
}
