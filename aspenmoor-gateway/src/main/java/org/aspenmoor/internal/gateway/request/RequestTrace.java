package org.aspenmoor.internal.gateway.request;

import java.util.concurrent.TimeUnit;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.gateway.log.LogLine;
import org.aspenmoor.internal.gateway.protocol.CallerRequest;
import org.aspenmoor.internal.serving.AttemptEnd;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.NextStep;
import org.aspenmoor.internal.serving.Prompt;
import org.aspenmoor.internal.serving.Route;

/** What was decided about one request and by what, for the line that explains it afterwards. */
final class RequestTrace {
    private static final double MILLISECONDS = 1000;

    private final CallerRequest caller;
    private final Route route;
    private final String service;
    private final long configurationVersion;
    private final long arrivedAt;
    private final long deadline;
    private String way = "none";
    private String server = "";
    private String reason = "";
    private double expectedSeconds;
    private long firstByteAt;

    RequestTrace(
            CallerRequest caller,
            Route route,
            String service,
            long configurationVersion,
            long arrivedAt,
            long deadline) {
        this.caller = caller;
        this.route = route;
        this.service = service;
        this.configurationVersion = configurationVersion;
        this.arrivedAt = arrivedAt;
        this.deadline = deadline;
    }

    void placed(String newWay, double seconds) {
        way = newWay;
        expectedSeconds = seconds;
    }

    void sentTo(BackendServer to) {
        server = to.id();
    }

    void because(String newReason) {
        reason = newReason;
    }

    void firstByte(long now) {
        if (firstByteAt == 0) {
            firstByteAt = now;
        }
    }

    String server() {
        return server;
    }

    String reason() {
        return reason;
    }

    /** Writes that a prompt was not computed where it should have been. */
    void prefillFailed(DecisionLog log, BackendServer engine, String why) {
        log.notable("prefill-failed")
                .with("request", caller.id())
                .with("server", engine.id())
                .with("reason", why)
                .write();
    }

    /** Writes how an attempt ended and what follows. */
    void attemptEnded(DecisionLog log, AttemptEnd end, NextStep next) {
        log.notable("attempt-ended")
                .with("request", caller.id())
                .with("server", server)
                .with("end", end.getClass().getSimpleName())
                .with("reason", reason)
                .with("next", next.name())
                .write();
    }

    /** Writes all of it. */
    void write(LogLine line, RequestOutcome outcome, int attempts, long now) {
        line.with("request", caller.id())
                .with("outcome", outcome.name())
                .with("route", route.name())
                .with("configuration", configurationVersion)
                .with("service", service)
                .with("server", server)
                .with("attempts", attempts)
                .with("way", way)
                .with("promptTokens", caller.prompt().map(Prompt::promptTokens).orElse(0))
                .with("sharedTokens", caller.prompt().map(Prompt::sharedTokens).orElse(0))
                .with("expectedMs", Math.round(expectedSeconds * MILLISECONDS))
                .with("firstByteMs", firstByteAt == 0 ? -1 : milliseconds(firstByteAt))
                .with("afterMs", milliseconds(now))
                .with("allowedMs", milliseconds(deadline))
                .with("reason", reason)
                .write();
    }

    private long milliseconds(long at) {
        return TimeUnit.NANOSECONDS.toMillis(at - arrivedAt);
    }
}
