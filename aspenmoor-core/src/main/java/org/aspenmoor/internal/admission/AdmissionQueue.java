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
 * The bounded queue before one service's engines. Confined to one thread.
 *
 * <p>Teams are served by start-time fair queuing over engine-seconds; within a team the heavier and then the more
 * urgent goes first. Work that the measured service rate cannot finish in time is refused when that becomes known, and
 * not when its deadline comes: a caller that is told at once can still act.
 */
public final class AdmissionQueue {
    private static final double NANOSECONDS = 1e9;
    private static final double LEAST_RATE = 0.01;
    private static final double LEAST_SHARE_OF_ASSUMED_RATE = 0.5;
    private static final Duration SHORTEST_COME_BACK = Duration.ofMillis(50);

    private final AdmissionSettings settings;
    private final ServiceRate serviceRate;
    private final Map<String, TeamShare> teams = new LinkedHashMap<>();
    private int size;
    private double virtualTime;

    public AdmissionQueue(AdmissionSettings settings) {
        this.settings = settings;
        this.serviceRate = new ServiceRate(settings.initialEngines(), settings.rateMemorySeconds());
    }

    /**
     * Offers a request. Where it is queued or admitted, it is in the queue until {@link #take} or {@link #cancel}; call
     * {@link #displaced} after each offer and refuse what it returns.
     */
    public AdmissionDecision offer(WaitingWork work, long nowNanoseconds) {
        serviceRate.observe(size > 0, nowNanoseconds);
        TeamShare team = teams.computeIfAbsent(work.team(), name -> new TeamShare());
        double waitSeconds = waitSeconds(team, work);
        double slackSeconds = slackSeconds(work, nowNanoseconds);
        if (waitSeconds > slackSeconds) {
            return tooLate(work, waitSeconds, slackSeconds);
        }
        if (size >= settings.mostWaiting() && isFirstToShed(work)) {
            return overloaded(waitSeconds);
        }
        if (team.waiting().isEmpty()) {
            team.advanceTo(virtualTime);
        }
        team.add(work);
        size++;
        serviceRate.observe(true, nowNanoseconds);
        return size == 1
                ? new AdmissionDecision.Admitted()
                : new AdmissionDecision.Queued(Duration.ofNanos((long) (waitSeconds * NANOSECONDS)));
    }

    /** Gives up waiting work that no longer fits: beyond the bound, or pushed past its deadline by heavier work. */
    public List<Displaced> displaced(long nowNanoseconds) {
        List<Displaced> displaced = new ArrayList<>();
        while (size > settings.mostWaiting()) {
            WaitingWork shed = firstToShed().orElseThrow();
            remove(shed);
            displaced.add(new Displaced(shed, overloaded(totalEngineSeconds() / rate())));
        }
        for (TeamShare team : teams.values()) {
            giveUpLate(team, nowNanoseconds, displaced);
        }
        serviceRate.observe(size > 0, nowNanoseconds);
        return displaced;
    }

    /** Returns the request that is next to be sent, without taking it. */
    public Optional<WaitingWork> next() {
        return nextTeam().flatMap(TeamShare::first);
    }

    /** Takes a request out, because it is being sent now. */
    public void take(WaitingWork work, long nowNanoseconds) {
        if (!remove(work)) {
            return;
        }
        TeamShare team = teams.get(work.team());
        virtualTime = Math.max(virtualTime, team.virtualTime());
        team.served(work.engineSeconds());
        serviceRate.sent(work.engineSeconds());
        serviceRate.observe(size > 0, nowNanoseconds);
    }

    /** Takes a request out because its caller has gone. */
    public boolean cancel(RequestId id) {
        for (TeamShare team : teams.values()) {
            Optional<WaitingWork> found = team.find(work -> work.id().equals(id));
            if (found.isPresent()) {
                return remove(found.get());
            }
        }
        return false;
    }

    /** Takes a request out because it is being refused. */
    public void giveUp(WaitingWork work, long nowNanoseconds) {
        remove(work);
        serviceRate.observe(size > 0, nowNanoseconds);
    }

    /** Returns how many requests wait. */
    public int size() {
        return size;
    }

    /**
     * Returns the measured service rate, in engine-seconds a second, but not less than half of the assumed one: during a
     * role change the measured rate falls for seconds, and work would be refused that the engines serve a moment later.
     */
    public double rate() {
        double least = Math.max(LEAST_RATE, LEAST_SHARE_OF_ASSUMED_RATE * settings.initialEngines());
        return serviceRate.engineSecondsPerSecond(least);
    }

    private void giveUpLate(TeamShare team, long now, List<Displaced> displaced) {
        double before = 0;
        double teamRate = teamRate(team);
        List<WaitingWork> late = new ArrayList<>();
        for (WaitingWork work : team.waiting()) {
            double wait = before / teamRate;
            double slack = slackSeconds(work, now);
            if (wait > slack) {
                late.add(work);
                displaced.add(new Displaced(work, tooLate(work, wait, slack)));
                continue;
            }
            before += work.engineSeconds();
        }
        late.forEach(this::remove);
    }

    private boolean remove(WaitingWork work) {
        TeamShare team = teams.get(work.team());
        if (team == null || !team.remove(work)) {
            return false;
        }
        size--;
        return true;
    }

    private Optional<TeamShare> nextTeam() {
        return teams.values().stream()
                .filter(team -> !team.waiting().isEmpty())
                .min(Comparator.comparingDouble(TeamShare::virtualTime));
    }

    private double waitSeconds(TeamShare team, WaitingWork work) {
        return team.engineSecondsBefore(work) / teamRate(team);
    }

    /** A team with a backlog is served at an equal share of the rate with the others that have one. */
    private double teamRate(TeamShare team) {
        long others = teams.values().stream()
                .filter(other -> other != team && !other.waiting().isEmpty())
                .count();
        return rate() / (1 + others);
    }

    private static double slackSeconds(WaitingWork work, long now) {
        return (work.deadlineNanoseconds() - now) / NANOSECONDS - work.serviceSeconds();
    }

    private double totalEngineSeconds() {
        return teams.values().stream()
                .mapToDouble(TeamShare::waitingEngineSeconds)
                .sum();
    }

    private Optional<WaitingWork> firstToShed() {
        return teams.values().stream()
                .max(Comparator.comparingDouble(TeamShare::waitingEngineSeconds))
                .flatMap(TeamShare::last);
    }

    private boolean isFirstToShed(WaitingWork work) {
        TeamShare own = teams.get(work.team());
        Optional<TeamShare> largest =
                teams.values().stream().max(Comparator.comparingDouble(TeamShare::waitingEngineSeconds));
        if (largest.isEmpty() || largest.get() != own) {
            return false;
        }
        return own.last().map(last -> last.weight() >= work.weight()).orElse(false);
    }

    private AdmissionDecision.Refused tooLate(WaitingWork work, double waitSeconds, double slackSeconds) {
        return new AdmissionDecision.Refused(
                RefusalReason.CANNOT_FINISH_IN_TIME,
                comeBackAfter(waitSeconds - Math.max(0, slackSeconds)),
                String.format(
                        Locale.ROOT,
                        "The request would wait %.2f s and then take %.2f s, which is more than its deadline leaves.",
                        waitSeconds,
                        work.serviceSeconds()));
    }

    private AdmissionDecision.Refused overloaded(double waitSeconds) {
        return new AdmissionDecision.Refused(
                RefusalReason.OVERLOADED,
                comeBackAfter(waitSeconds),
                settings.mostWaiting() + " requests wait already and this one would be the first to be shed.");
    }

    private static Duration comeBackAfter(double seconds) {
        Duration calculated = Duration.ofNanos((long) (seconds * NANOSECONDS));
        return calculated.compareTo(SHORTEST_COME_BACK) < 0 ? SHORTEST_COME_BACK : calculated;
    }
}
