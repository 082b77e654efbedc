package org.aspenmoor.internal.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.aspenmoor.RefusalReason;
import org.aspenmoor.RequestId;

/**
 * The bounded wait queue of one service. Not thread-safe; confined to one thread.
 *
 * <p>Teams are served by start-time fair queuing over engine-seconds. Within a team, the request with the greater
 * weight goes first, then the one with the earlier deadline. A request that cannot finish in time at the measured
 * service rate is refused as soon as that is known and not at its deadline, so that its caller still has time to
 * react.
 */
public final class AdmissionQueue {
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final double MIN_RATE = 0.01;
    private static final double MIN_FRACTION_OF_INITIAL_RATE = 0.5;
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(50);

    private final AdmissionSettings settings;
    private final ServiceRate serviceRate;
    private final Map<String, TeamQueue> teams = new LinkedHashMap<>();
    private int size;
    private double virtualTime;

    public AdmissionQueue(AdmissionSettings settings) {
        this.settings = settings;
        this.serviceRate = new ServiceRate(settings.initialRate(), settings.rateSmoothingSeconds());
    }

    /**
     * Offers a request. A queued or admitted request stays in the queue until {@link #markDispatched},
     * {@link #removeRefused}, {@link #cancel} or {@link #evict}. Call {@link #evict} after each offer and refuse the
     * requests that it returns.
     */
    public AdmissionDecision offer(WaitingRequest request, long nowNanoseconds) {
        serviceRate.observe(size > 0, nowNanoseconds);
        TeamQueue team = teams.computeIfAbsent(request.team(), name -> new TeamQueue());
        double waitSeconds = waitSeconds(team, request);
        double slackSeconds = slackSeconds(request, nowNanoseconds);
        if (waitSeconds > slackSeconds) {
            return refuseLate(request, waitSeconds, slackSeconds);
        }
        if (size >= settings.maxWaiting() && isNextToEvict(request)) {
            return refuseOverload(waitSeconds);
        }
        if (team.waiting().isEmpty()) {
            team.raiseVirtualTimeTo(virtualTime);
        }
        team.add(request);
        size++;
        serviceRate.observe(true, nowNanoseconds);
        return size == 1
                ? new AdmissionDecision.Admitted()
                : new AdmissionDecision.Queued(Duration.ofNanos((long) (waitSeconds * NANOSECONDS_PER_SECOND)));
    }

    /**
     * Removes and returns the requests that are over the size limit of the queue, or that can no longer meet their
     * deadline because requests with a greater weight are ahead of them.
     */
    public List<EvictedRequest> evict(long nowNanoseconds) {
        List<EvictedRequest> evicted = new ArrayList<>();
        while (size > settings.maxWaiting()) {
            WaitingRequest evictedRequest = nextToEvict().orElseThrow();
            remove(evictedRequest);
            evicted.add(new EvictedRequest(evictedRequest, refuseOverload(totalEngineSeconds() / rate())));
        }
        for (TeamQueue team : teams.values()) {
            evictLate(team, nowNanoseconds, evicted);
        }
        serviceRate.observe(size > 0, nowNanoseconds);
        return evicted;
    }

    /** Returns the next request to send without removing it. */
    public Optional<WaitingRequest> next() {
        return nextTeam().flatMap(TeamQueue::first);
    }

    /** Removes a request that is being sent to an engine. */
    public void markDispatched(WaitingRequest request, long nowNanoseconds) {
        if (!remove(request)) {
            return;
        }
        TeamQueue team = teams.get(request.team());
        virtualTime = Math.max(virtualTime, team.virtualTime());
        team.addServed(request.engineSeconds());
        serviceRate.recordDispatched(request.engineSeconds());
        serviceRate.observe(size > 0, nowNanoseconds);
    }

    /** Removes a request whose caller has disconnected; returns whether it was in the queue. */
    public boolean cancel(RequestId id) {
        for (TeamQueue team : teams.values()) {
            Optional<WaitingRequest> found = team.find(request -> request.id().equals(id));
            if (found.isPresent()) {
                return remove(found.get());
            }
        }
        return false;
    }

    /** Removes a request that is being refused. */
    public void removeRefused(WaitingRequest request, long nowNanoseconds) {
        remove(request);
        serviceRate.observe(size > 0, nowNanoseconds);
    }

    /** Returns the number of waiting requests. */
    public int size() {
        return size;
    }

    /**
     * Returns the measured service rate in engine-seconds per second, but at least half of the initial rate. During a
     * role change the measured rate drops for some seconds; without the lower bound, requests would be refused that
     * the engines can serve shortly after.
     */
    public double rate() {
        double minRate = Math.max(MIN_RATE, MIN_FRACTION_OF_INITIAL_RATE * settings.initialRate());
        return serviceRate.engineSecondsPerSecond(minRate);
    }

    private void evictLate(TeamQueue team, long now, List<EvictedRequest> evicted) {
        double engineSecondsBefore = 0;
        double teamRate = ratePerTeam(team);
        List<WaitingRequest> late = new ArrayList<>();
        for (WaitingRequest request : team.waiting()) {
            double wait = engineSecondsBefore / teamRate;
            double slack = slackSeconds(request, now);
            if (wait > slack) {
                late.add(request);
                evicted.add(new EvictedRequest(request, refuseLate(request, wait, slack)));
                continue;
            }
            engineSecondsBefore += request.engineSeconds();
        }
        late.forEach(this::remove);
    }

    private boolean remove(WaitingRequest request) {
        TeamQueue team = teams.get(request.team());
        if (team == null || !team.remove(request)) {
            return false;
        }
        size--;
        return true;
    }

    private Optional<TeamQueue> nextTeam() {
        return teams.values().stream()
                .filter(team -> !team.waiting().isEmpty())
                .min(Comparator.comparingDouble(TeamQueue::virtualTime));
    }

    private double waitSeconds(TeamQueue team, WaitingRequest request) {
        return team.engineSecondsBefore(request) / ratePerTeam(team);
    }

    /** Returns the service rate of a team: teams with waiting requests share the rate equally. */
    private double ratePerTeam(TeamQueue team) {
        long otherTeams = teams.values().stream()
                .filter(other -> other != team && !other.waiting().isEmpty())
                .count();
        return rate() / (1 + otherTeams);
    }

    private static double slackSeconds(WaitingRequest request, long now) {
        return (request.deadlineNanoseconds() - now) / NANOSECONDS_PER_SECOND - request.serviceSeconds();
    }

    private double totalEngineSeconds() {
        return teams.values().stream()
                .mapToDouble(TeamQueue::waitingEngineSeconds)
                .sum();
    }

    private Optional<WaitingRequest> nextToEvict() {
        return teams.values().stream()
                .max(Comparator.comparingDouble(TeamQueue::waitingEngineSeconds))
                .flatMap(TeamQueue::last);
    }

    private boolean isNextToEvict(WaitingRequest request) {
        TeamQueue queue = teams.get(request.team());
        Optional<TeamQueue> largest =
                teams.values().stream().max(Comparator.comparingDouble(TeamQueue::waitingEngineSeconds));
        if (largest.isEmpty() || largest.get() != queue) {
            return false;
        }
        return queue.last().map(last -> last.weight() >= request.weight()).orElse(false);
    }

    private AdmissionDecision.Refused refuseLate(WaitingRequest request, double waitSeconds, double slackSeconds) {
        return new AdmissionDecision.Refused(
                RefusalReason.CANNOT_FINISH_IN_TIME,
                retryAfter(waitSeconds - Math.max(0, slackSeconds)),
                String.format(
                        Locale.ROOT,
                        "The request would wait %.2f s and then take %.2f s, which exceeds the time to its deadline.",
                        waitSeconds,
                        request.serviceSeconds()));
    }

    private AdmissionDecision.Refused refuseOverload(double waitSeconds) {
        return new AdmissionDecision.Refused(
                RefusalReason.OVERLOADED,
                retryAfter(waitSeconds),
                settings.maxWaiting()
                        + " requests are already waiting, and this one would be the first to be evicted.");
    }

    private static Duration retryAfter(double seconds) {
        Duration duration = Duration.ofNanos((long) (seconds * NANOSECONDS_PER_SECOND));
        return duration.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : duration;
    }
}
