package org.aspenmoor.internal.gateway.request;

import java.util.Optional;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.serving.limit.LimitUpdate;

/** Logs what becomes known of the limits that servers state. */
final class LimitLog {
    private final DecisionLog log;

    LimitLog(DecisionLog log) {
        this.log = log;
    }

    /** Logs a statement that the server made to this entry. */
    void stated(String server, LimitUpdate update) {
        write(server, "", update);
    }

    /** Logs a statement that another entry has reported. */
    void reported(String server, String entry, LimitUpdate update) {
        write(server, entry, update);
    }

    private void write(String server, String reportedBy, LimitUpdate update) {
        switch (update) {
            case LimitUpdate.Unchanged unchanged -> {}
            case LimitUpdate.Changed changed ->
                log.notable(changed.requestsPerSecond().isPresent() ? "server-limited" : "server-unlimited")
                        .with("server", server)
                        .with("requestsPerSecond", text(changed.requestsPerSecond()))
                        .with("reportedBy", reportedBy)
                        .write();
            case LimitUpdate.Outdated outdated ->
                log.notable("server-limit-ignored")
                        .with("server", server)
                        .with("stated", text(outdated.ignored()))
                        .with("stillHolds", text(outdated.requestsPerSecond()))
                        .with("reportedBy", reportedBy)
                        .write();
            case LimitUpdate.FirstUnreadable unreadable ->
                log.notable("server-limit-unreadable")
                        .with("server", server)
                        .with("stated", unreadable.text())
                        .with("stillHolds", text(unreadable.requestsPerSecond()))
                        .write();
        }
    }

    private static String text(Optional<Double> requestsPerSecond) {
        return requestsPerSecond.map(String::valueOf).orElse("none");
    }
}
