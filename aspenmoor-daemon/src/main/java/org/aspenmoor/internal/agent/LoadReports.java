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
 * Decides which of the backend server's load reports are worth sending.
 *
 * <p>Reports at a fixed rate cost every entry the same for an idle engine as for a busy one, and that cost grows with
 * the product of entries and engines. A report goes out at once when something changed that alters a routing decision,
 * and otherwise only often enough to show that the backend server is still watched.
 */
final class LoadReports {
    private static final Duration QUIET_PERIOD = Duration.ofSeconds(10);
    private static final double WORTHWHILE_SHARE = 0.1;
    private static final int WORTHWHILE_TOKENS = 500;

    private final String backend;
    private final TimeSource time;
    private Optional<EngineStatus> sent = Optional.empty();
    private boolean sentReady;
    private long sentAt;
    private boolean allowed = true;
    private Optional<Frame> latest = Optional.empty();

    LoadReports(String backend, TimeSource time) {
        this.backend = backend;
        this.time = time;
    }

    /** Takes a status; returns the frame to send where it is worth one. */
    Optional<Frame> read(EngineStatus status) {
        if (!isWorthSending(status)) {
            return Optional.empty();
        }
        return remember(status, status.ready() && allowed);
    }

    /** Takes whether the agent lets new work in; while it does not, the backend server is reported as not ready. */
    Optional<Frame> allowed(boolean nowAllowed) {
        allowed = nowAllowed;
        return sent.flatMap(status -> remember(status, status.ready() && allowed));
    }

    /** Takes that the backend server does not answer: it is reported as not ready, once. */
    Optional<Frame> missing(String cause) {
        if (sent.isEmpty() || !sentReady) {
            return Optional.empty();
        }
        return remember(sent.get(), false);
    }

    /** Returns the last frame sent, for an entry that has just connected. */
    Optional<Frame> latest() {
        return latest;
    }

    ObjectNode dump() {
        ObjectNode dump = JsonNodeFactory.instance.objectNode();
        dump.put("ready", sentReady);
        sent.ifPresent(status -> dump.put("role", status.role().name())
                .put("runningSequences", status.load().runningSequences())
                .put("queuedPrefillTokens", status.load().queuedPrefillTokens()));
        return dump;
    }

    private Optional<Frame> remember(EngineStatus status, boolean ready) {
        sent = Optional.of(status);
        sentReady = ready;
        sentAt = time.monotonicNanos();
        latest = Optional.of(frameOf(status, ready));
        return latest;
    }

    private boolean isWorthSending(EngineStatus status) {
        if (sent.isEmpty() || sentReady != (status.ready() && allowed)) {
            return true;
        }
        EngineStatus before = sent.get();
        if (before.role() != status.role() || !before.loaded().equals(status.loaded())) {
            return true;
        }
        if (time.monotonicNanos() - sentAt > QUIET_PERIOD.toNanos()) {
            return true;
        }
        return loadMoved(before.load(), status.load());
    }

    private static boolean loadMoved(EngineLoad before, EngineLoad now) {
        long tokens = Math.abs(now.queuedPrefillTokens() - before.queuedPrefillTokens());
        double sequences = Math.abs(now.runningSequences() - before.runningSequences());
        return tokens >= WORTHWHILE_TOKENS || sequences >= Math.max(1, WORTHWHILE_SHARE * before.maxSequences());
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
