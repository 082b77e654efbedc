package org.aspenmoor.internal.agent;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.internal.engine.EngineLoad;
import org.aspenmoor.internal.engine.EngineStatus;
import org.aspenmoor.internal.time.TimeSource;
import org.aspenmoor.internal.wire.v1.Frame;
import org.aspenmoor.internal.wire.v1.LoadReport;

/**
 * Decides which load reports of the backend server are sent.
 *
 * <p>Reports at a fixed rate would cost every entry the same for an idle engine as for a busy one, and that cost grows
 * with the product of the numbers of entries and engines. A report is sent at once when a change affects routing
 * decisions, and otherwise only often enough to show that the backend server is still monitored.
 */
final class LoadReportFilter {
    private static final Duration MAX_REPORT_INTERVAL = Duration.ofSeconds(10);
    private static final double MIN_SEQUENCE_CHANGE_FRACTION = 0.1;
    private static final int MIN_TOKEN_CHANGE = 500;

    private final String backend;
    private final TimeSource time;
    private Optional<EngineStatus> sentStatus = Optional.empty();
    private boolean sentReady;
    private long sentAt;
    private boolean servingAllowed = true;
    private Optional<Frame> latest = Optional.empty();

    LoadReportFilter(String backend, TimeSource time) {
        this.backend = backend;
        this.time = time;
    }

    /** Processes a status; returns the frame to send, if any. */
    Optional<Frame> statusRead(EngineStatus status) {
        if (!isWorthSending(status)) {
            return Optional.empty();
        }
        return recordReport(status, status.ready() && servingAllowed);
    }

    /** Sets whether the agent accepts new work; while it does not, the backend server is reported as not ready. */
    Optional<Frame> setServingAllowed(boolean newServingAllowed) {
        servingAllowed = newServingAllowed;
        return sentStatus.flatMap(status -> recordReport(status, status.ready() && servingAllowed));
    }

    /** Handles a missing status: the backend server is reported as not ready, once. */
    Optional<Frame> statusMissing(String cause) {
        if (sentStatus.isEmpty() || !sentReady) {
            return Optional.empty();
        }
        return recordReport(sentStatus.get(), false);
    }

    /** Returns the last frame sent, for entries that have just connected. */
    Optional<Frame> latest() {
        return latest;
    }

    ObjectNode dump() {
        ObjectNode dump = JsonNodeFactory.instance.objectNode();
        dump.put("ready", sentReady);
        sentStatus.ifPresent(status -> dump.put("role", status.role().name())
                .put("runningSequences", status.load().runningSequences())
                .put("queuedPrefillTokens", status.load().queuedPrefillTokens()));
        return dump;
    }

    private Optional<Frame> recordReport(EngineStatus status, boolean ready) {
        sentStatus = Optional.of(status);
        sentReady = ready;
        sentAt = time.monotonicNanos();
        latest = Optional.of(frameOf(status, ready));
        return latest;
    }

    private boolean isWorthSending(EngineStatus status) {
        if (sentStatus.isEmpty() || sentReady != (status.ready() && servingAllowed)) {
            return true;
        }
        EngineStatus previous = sentStatus.get();
        if (previous.role() != status.role() || !previous.loaded().equals(status.loaded())) {
            return true;
        }
        if (time.monotonicNanos() - sentAt > MAX_REPORT_INTERVAL.toNanos()) {
            return true;
        }
        return loadChanged(previous.load(), status.load());
    }

    private static boolean loadChanged(EngineLoad previous, EngineLoad current) {
        long tokenChange = Math.abs(current.queuedPrefillTokens() - previous.queuedPrefillTokens());
        double sequenceChange = Math.abs(current.runningSequences() - previous.runningSequences());
        return tokenChange >= MIN_TOKEN_CHANGE
                || sequenceChange >= Math.max(1, MIN_SEQUENCE_CHANGE_FRACTION * previous.maxSequences());
    }

    private Frame frameOf(EngineStatus status, boolean ready) {
        EngineLoad load = status.load();
        return Frame.newBuilder()
                .setLoadReport(LoadReport.newBuilder()
                        .setBackend(backend)
                        .setSequence(load.sequence())
                        .setRole(status.role().name())
                        .setReady(ready)
                        .setQueuedPrefillTokens(load.queuedPrefillTokens())
                        .setRunningSequences(load.runningSequences())
                        .setMostSequences(load.maxSequences())
                        .setFreeCachePieces(load.freeCachePieces())
                        .setAllCachePieces(load.totalCachePieces())
                        .addAllLoaded(status.loaded()))
                .build();
    }
}
