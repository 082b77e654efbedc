package org.aspenmoor.internal.gateway.request;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.gateway.log.LogLine;
import org.aspenmoor.internal.gateway.protocol.CallerRequest;
import org.aspenmoor.internal.serving.AttemptEnd;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.EngineLoad;
import org.aspenmoor.internal.serving.NextStep;
import org.aspenmoor.internal.serving.Prompt;
import org.aspenmoor.internal.serving.Route;

/** Collects the decisions about one request, their reasons and its timing, and writes them to the decision log. */
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
    private String promptServer = "";
    private long waitedFrom;
    private long departedAt;
    private long promptReadyAt;
    private long answerAskedAt;
    private EngineLoad loadWhenAsked = EngineLoad.UNKNOWN;
    private long firstByteAt;
    private long lastEventAt;
    private long longestPause;
    private int events;
    private int eventsOfAttempt;

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

    void waits(long now) {
        waitedFrom = waitedFrom == 0 ? now : waitedFrom;
    }

    void departed(long now) {
        departedAt = now;
    }

    /** Returns the time from the first byte of the answer to its last event so far. */
    Duration told() {
        return Duration.ofNanos(lastEventAt - firstByteAt);
    }

    /** Returns when the last event arrived, in nanoseconds of the monotonic clock; empty if none has. */
    OptionalLong lastEvent() {
        return events == 0 ? OptionalLong.empty() : OptionalLong.of(lastEventAt);
    }

    /** Records that a server is asked for the answer, and its load at that time. */
    void answerAsked(EngineLoad there, long now) {
        loadWhenAsked = there;
        eventsOfAttempt = 0;
        answerAskedAt = now;
    }

    void promptReady(BackendServer by, long now) {
        promptServer = by.id();
        promptReadyAt = now;
    }

    /** Records an event of a stream; returns the time since the previous event if both are from the same attempt. */
    Optional<Duration> event(long now) {
        long pause = now - lastEventAt;
        if (events > 0) {
            longestPause = Math.max(longestPause, pause);
        }
        lastEventAt = now;
        events++;
        eventsOfAttempt++;
        return eventsOfAttempt > 1 ? Optional.of(Duration.ofNanos(pause)) : Optional.empty();
    }

    void because(String newReason) {
        reason = newReason;
    }

    void firstByte(long now) {
        if (firstByteAt == 0) {
            firstByteAt = now;
        }
    }

    int events() {
        return events;
    }

    String server() {
        return server;
    }

    String reason() {
        return reason;
    }

    /** Logs that the prefill at an engine failed. */
    void prefillFailed(DecisionLog log, BackendServer engine, String why) {
        log.notable("prefill-failed")
                .with("request", caller.id())
                .with("server", engine.id())
                .with("reason", why)
                .write();
    }

    /** Logs how an attempt ended and the next step. */
    void attemptEnded(DecisionLog log, AttemptEnd end, NextStep next) {
        log.notable("attempt-ended")
                .with("request", caller.id())
                .with("server", server)
                .with("end", end.getClass().getSimpleName())
                .with("reason", reason)
                .with("next", next.name())
                .write();
    }

    /** Logs the whole trace, with the current load of the last server. */
    void write(LogLine line, RequestOutcome outcome, int attempts, EngineLoad there, long now) {
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
                .with(
                        "mostTokens",
                        caller.prompt().map(Prompt::mostOutputTokens).orElse(0))
                .with("expectedMs", Math.round(expectedSeconds * MILLISECONDS))
                .with("heldFromMs", sinceArrival(waitedFrom))
                .with("departedMs", sinceArrival(departedAt))
                .with("promptServer", promptServer)
                .with("promptReadyMs", sinceArrival(promptReadyAt))
                .with("answerAskedMs", sinceArrival(answerAskedAt))
                .with("firstByteMs", sinceArrival(firstByteAt))
                .with("askedRequests", Math.round(loadWhenAsked.requests()))
                .with("askedPaceMs", paceMilliseconds(loadWhenAsked))
                .with("endRequests", Math.round(there.requests()))
                .with("endPaceMs", paceMilliseconds(there))
                .with("events", events)
                .with("longestPauseMs", TimeUnit.NANOSECONDS.toMillis(longestPause))
                .with("afterMs", milliseconds(now))
                .with("allowedMs", milliseconds(deadline))
                .with("reason", reason)
                .write();
    }

    /** Returns an engine's milliseconds from one event to the next; -1 if unknown. */
    private static long paceMilliseconds(EngineLoad load) {
        return load.secondsPerEvent()
                .map(seconds -> Math.round(seconds * MILLISECONDS))
                .orElse(-1L);
    }

    /** Returns the milliseconds from the arrival to a step; -1 if the step has not been reached. */
    private long sinceArrival(long at) {
        return at == 0 ? -1 : milliseconds(at);
    }

    private long milliseconds(long at) {
        return TimeUnit.NANOSECONDS.toMillis(at - arrivedAt);
    }
}
