package org.aspenmoor.internal.gateway.request;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.gateway.log.LogLine;
import org.aspenmoor.internal.gateway.protocol.CallerHeaders;
import org.aspenmoor.internal.gateway.protocol.Resumption;
import org.aspenmoor.internal.serving.AttemptEnd;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.EngineLoad;
import org.aspenmoor.internal.serving.NextStep;
import org.aspenmoor.internal.serving.Prompt;
import org.aspenmoor.internal.serving.Route;
import org.aspenmoor.internal.serving.SoftwareVersion;
import org.aspenmoor.internal.serving.stop.StopRefusal;

/** Collects the decisions about one request, their reasons and its timing, and writes them to the decision log. */
final class RequestTrace {
    private static final double MILLISECONDS_PER_SECOND = 1000;

    private final CallerHeaders caller;
    private final Route route;
    private final RequestAuthorisation authorisation;
    private final String service;
    private final long configurationVersion;
    private final long arrivedAt;
    private final long deadline;
    private String placementType = "none";
    private String server = "";
    private String reason = "";
    private double expectedSeconds;
    private String prefillServerId = "";
    private long queuedAt;
    private long dispatchedAt;
    private long prefillCompletedAt;
    private long answerRequestedAt;
    private final Set<String> answerVersions = new LinkedHashSet<>();
    private EngineLoad loadAtRequest = EngineLoad.UNKNOWN;
    private long firstByteAt;
    private long lastEventAt;
    private long longestGap;
    private int events;
    private int eventsOfAttempt;

    RequestTrace(RoutedRequest request, long deadline) {
        this.caller = request.caller();
        this.route = request.route();
        this.authorisation = request.authorisation();
        this.service = request.service();
        this.configurationVersion = request.configurationVersion();
        this.arrivedAt = request.incoming().receivedAtNanos();
        this.deadline = deadline;
    }

    void placementChosen(String newPlacementType, double seconds) {
        placementType = newPlacementType;
        expectedSeconds = seconds;
    }

    void sentTo(BackendServer target) {
        server = target.id();
    }

    void queued(long now) {
        queuedAt = queuedAt == 0 ? now : queuedAt;
    }

    void dispatched(long now) {
        dispatchedAt = now;
    }

    /** Returns the time from the first byte of the answer to its last event so far. */
    Duration answerDuration() {
        return Duration.ofNanos(lastEventAt - firstByteAt);
    }

    /** Returns when the last event arrived, in nanoseconds of the monotonic clock; empty if none has. */
    OptionalLong lastEventTime() {
        return events == 0 ? OptionalLong.empty() : OptionalLong.of(lastEventAt);
    }

    /** Records that the answer is requested from a server, and the server's load at that time. */
    void answerRequested(EngineLoad load, long now) {
        loadAtRequest = load;
        eventsOfAttempt = 0;
        answerRequestedAt = now;
    }

    void prefillCompleted(BackendServer engine, long now) {
        prefillServerId = engine.id();
        prefillCompletedAt = now;
    }

    /** Returns whether events of servers of several software versions have been sent to the caller in this answer. */
    boolean mixedVersions() {
        return answerVersions.size() > 1;
    }

    /** Records an event of a stream; returns the time since the previous event if both are from the same attempt. */
    Optional<Duration> eventReceived(SoftwareVersion version, long now) {
        answerVersions.add(version.name());
        long gap = now - lastEventAt;
        if (events > 0) {
            longestGap = Math.max(longestGap, gap);
        }
        lastEventAt = now;
        events++;
        eventsOfAttempt++;
        return eventsOfAttempt > 1 ? Optional.of(Duration.ofNanos(gap)) : Optional.empty();
    }

    void setReason(String newReason) {
        reason = newReason;
    }

    void firstByteReceived(long now) {
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

    /** Returns the name of the organisation that the request is served for; empty if there is none. */
    String organisation() {
        return authorisation.organisationName();
    }

    String reason() {
        return reason;
    }

    /** Logs that the prefill at an engine failed. */
    void logPrefillFailed(DecisionLog log, BackendServer engine, String failure) {
        log.notable("prefill-failed")
                .with("request", caller.requestId())
                .with("server", engine.id())
                .with("reason", failure)
                .write();
    }

    /** Logs how an attempt ended and which step follows. */
    void logAttemptEnded(DecisionLog log, AttemptEnd end, NextStep next) {
        log.notable("attempt-ended")
                .with("request", caller.requestId())
                .with("server", server)
                .with("end", end.getClass().getSimpleName())
                .with("reason", reason)
                .with("next", next.name())
                .write();
    }

    /** Logs that an attempt which should be replaced is kept, because none can replace it. */
    void logAttemptKept(DecisionLog log, String stall, String obstacle) {
        log.notable("attempt-kept")
                .with("request", caller.requestId())
                .with("server", server)
                .with("reason", stall)
                .with("obstacle", obstacle)
                .write();
    }

    /** Logs that the request is not sent because the process is stopping. */
    void logRefusedByStop(DecisionLog log, StopRefusal refusal) {
        log.notable("refused-by-stop")
                .with("request", caller.requestId())
                .with("route", route.name())
                .with("leftMs", refusal.left().toMillis())
                .with("expectedMs", refusal.expected().map(Duration::toMillis).orElse(-1L))
                .with("allowedMs", millisecondsSinceArrival(deadline))
                .write();
    }

    /** Logs the complete trace, with the current load of the last server. */
    void logEnded(ServingState state, RequestOutcome outcome, int attempts) {
        LogLine logLine = outcome == RequestOutcome.ANSWERED
                ? state.log().routine("request-ended")
                : state.log().notable("request-ended");
        long now = state.time().monotonicNanos();
        EngineLoad currentLoad = state.placement().load(server, now);
        logLine.with("request", caller.requestId())
                .with("outcome", outcome.name())
                .with("route", route.name())
                .with("configuration", configurationVersion)
                .with("organisation", authorisation.organisationName())
                .with("service", service)
                .with("server", server)
                .with("attempts", attempts)
                .with("softwareVersions", String.join(" ", answerVersions))
                .with(
                        "resumedRequest",
                        caller.resumption().flatMap(Resumption::firstRequestId).orElse(""))
                .with(
                        "resumedAfterEvent",
                        caller.resumption().flatMap(Resumption::lastEventId).orElse(""))
                .with("way", placementType)
                .with("promptTokens", caller.prompt().map(Prompt::promptTokens).orElse(0))
                .with(
                        "sharedTokens",
                        caller.prompt().map(Prompt::sharedPrefixTokens).orElse(0))
                .with("mostTokens", caller.prompt().map(Prompt::maxOutputTokens).orElse(0))
                .with("expectedMs", Math.round(expectedSeconds * MILLISECONDS_PER_SECOND))
                .with("heldFromMs", stepMilliseconds(queuedAt))
                .with("departedMs", stepMilliseconds(dispatchedAt))
                .with("promptServer", prefillServerId)
                .with("promptReadyMs", stepMilliseconds(prefillCompletedAt))
                .with("answerAskedMs", stepMilliseconds(answerRequestedAt))
                .with("firstByteMs", stepMilliseconds(firstByteAt))
                .with("askedRequests", Math.round(loadAtRequest.requests()))
                .with("askedPaceMs", millisecondsPerEvent(loadAtRequest))
                .with("endRequests", Math.round(currentLoad.requests()))
                .with("endPaceMs", millisecondsPerEvent(currentLoad))
                .with("events", events)
                .with("longestPauseMs", TimeUnit.NANOSECONDS.toMillis(longestGap))
                .with("afterMs", millisecondsSinceArrival(now))
                .with("allowedMs", millisecondsSinceArrival(deadline))
                .with("reason", reason)
                .write();
    }

    /** Returns an engine's milliseconds from one event to the next; -1 if unknown. */
    private static long millisecondsPerEvent(EngineLoad load) {
        return load.secondsPerEvent()
                .map(seconds -> Math.round(seconds * MILLISECONDS_PER_SECOND))
                .orElse(-1L);
    }

    /** Returns the milliseconds from the arrival to a step; -1 if the step has not been reached. */
    private long stepMilliseconds(long at) {
        return at == 0 ? -1 : millisecondsSinceArrival(at);
    }

    private long millisecondsSinceArrival(long at) {
        return TimeUnit.NANOSECONDS.toMillis(at - arrivedAt);
    }
}
