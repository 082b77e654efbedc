package org.aspenmoor.internal.bench.soak;

import java.util.HashSet;
import java.util.Set;
import org.aspenmoor.RequestId;

/** Counts what became of streams over all entries. */
final class StreamCounts {
    private final Set<RequestId> started = new HashSet<>();
    private long whole;
    private long resumed;
    private long cut;
    private long discarded;

    void started(StreamRequest request) {
        started.add(request.id());
    }

    boolean started(RequestId request) {
        return started.contains(request);
    }

    void whole(int attempts) {
        whole++;
        resumed += attempts > 1 ? 1 : 0;
    }

    void cut() {
        cut++;
    }

    void discarded() {
        discarded++;
    }

    Totals totals() {
        return new Totals(whole, resumed, cut, discarded);
    }

    /** Counts at one moment; a resumed stream is whole too. */
    record Totals(long whole, long resumed, long cut, long discardedFrames) {}
}
