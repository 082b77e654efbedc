package org.aspenmoor.internal.serving.speed;

import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.LastingSlowdown;
import org.aspenmoor.internal.serving.LearnedSlowdown;
import org.aspenmoor.internal.serving.ServerSpeed;
import org.aspenmoor.internal.serving.StatedSlowdown;

/**
 * The speed of one server incarnation as far as this entry knows: the newest statement of the server, made to this entry
 * or to another one, and what the answers to all entries show. Confined to one thread; times are nanoseconds of the
 * monotonic clock.
 *
 * <p>An entry alone gets an answer from a given engine every few seconds, which is too few to notice a slow phase of
 * half a second, and in half a minute too few to learn that an engine is slower than the others.
 */
public final class KnownSpeed {
    /** A single answer differs by at most this factor from what is known; a longer one waited for something else. */
    private static final double MAX_DEVIATION = 3;

    /** After this many answers the deviation of further ones is limited. */
    private static final double MIN_KNOWN_ANSWERS = 3;

    /** Weight, in answers, of the assumption that a server is as fast as the others. */
    private static final double ASSUMED_ANSWERS = 1;

    /** With fewer answers an entry has nothing to report. */
    private static final double MIN_REPORTED_ANSWERS = 0.25;

    /** What was learned changes slowly; reporting it less often than statements keeps reports small. */
    private static final long LEARNED_INTERVAL_NANOSECONDS =
            Duration.ofSeconds(2).toNanos();

    private final BackendServer server;
    private final StatingService service;
    private final NewestStatement newest = new NewestStatement();
    private final NewestStatement own = new NewestStatement();
    private final LastingEstimate lasting = new LastingEstimate();
    private final SlowdownAverage ownAnswers = new SlowdownAverage();
    private final PeerSlowdowns peers = new PeerSlowdowns();
    private boolean countsAsStating;
    private long learnedReportedAt = Long.MIN_VALUE;
    private Optional<Long> lastReportedStatement = Optional.empty();

    KnownSpeed(BackendServer server, StatingService service) {
        this.server = server;
        this.service = service;
    }

    BackendServer server() {
        return server;
    }

    /** Returns whether servers of this service state their slowdown; otherwise nothing here may be used. */
    public boolean inUse() {
        return service.states();
    }

    /** Returns how long work is expected to take now, as a multiple of its usual duration at this server. */
    public double statedSlowdown(long now) {
        return newest.expected(lasting.factor(), now);
    }

    /** Returns the multiple of its usual duration that work took which was done in the given time. */
    public double statedDuring(long from, long now) {
        return newest.during(lasting.factor(), from, now);
    }

    /** Returns how long work takes outside of slow phases, as the server states it; 1 if it states nothing. */
    public double lastingSlowdown() {
        return lasting.factor();
    }

    /** Returns when the newest statement was made, to this entry or to another one; empty if there is none. */
    public Optional<Long> newestStatementAt() {
        return newest.statedAt();
    }

    /** Returns the newest statement; empty if there is none from the last second. */
    public Optional<StatedSlowdown> currentStatement(long now) {
        return newest.current(now);
    }

    /**
     * Returns how long work takes at the server, as a multiple of its duration at the speed of the settings and at the
     * server's usual speed.
     *
     * @param assumed the multiple to assume without answers
     */
    public double learnedSlowdown(double assumed, long now) {
        double answers = answers(now) + ASSUMED_ANSWERS;
        double logarithms = logarithmSum(now) + ASSUMED_ANSWERS * Math.log(assumed);
        return Math.exp(logarithms / answers);
    }

    /** Returns what all entries have learned; empty if that is nothing. */
    public Optional<LearnedSlowdown> learned(long now) {
        double answers = answers(now);
        return answers < MIN_REPORTED_ANSWERS
                ? Optional.empty()
                : Optional.of(new LearnedSlowdown(Math.exp(logarithmSum(now) / answers), answers));
    }

    /** Records how long work took, as a multiple of what the settings and the server's statement let expect. */
    public void workObserved(double multiple, long now) {
        double known = learnedSlowdown(multiple, now);
        double limited = answers(now) < MIN_KNOWN_ANSWERS
                ? multiple
                : Math.clamp(multiple, known / MAX_DEVIATION, known * MAX_DEVIATION);
        ownAnswers.add(SpeedLimits.clamp(limited), 1, now);
    }

    /** Forgets what was learned, because work of another kind is done from now on. */
    public void roleChanged() {
        ownAnswers.clear();
        peers.clear();
    }

    boolean describes(BackendServer registered) {
        return server.sameIncarnation(registered);
    }

    boolean isIncarnation(long startedAt) {
        return server.startedAt() == startedAt;
    }

    StatingService service() {
        return service;
    }

    boolean countsAsStating() {
        return countsAsStating;
    }

    void statedToThisEntry(double factor, long now) {
        own.stated(factor, now);
        stated(factor, now);
    }

    void reported(String entry, ServerSpeed speed, long now) {
        speed.stated().ifPresent(stated -> {
            stated(SpeedLimits.clamp(stated.factor()), now - stated.age().toNanos());
        });
        speed.lasting()
                .ifPresent(reported -> lasting.reported(SpeedLimits.clamp(reported.factor()), reported.statements()));
        speed.learned().ifPresent(learned -> {
            peers.received(entry, learned, now);
            countAsStating();
        });
    }

    private void stated(double factor, long at) {
        if (newest.stated(factor, at)) {
            lasting.stated(factor, at);
        }
        countAsStating();
    }

    void expire(long now) {
        peers.expire(now);
    }

    /** Returns whether what this entry has learned is to be reported again. */
    boolean learnedIsDue(long now) {
        return ownAnswers.answers(now) >= MIN_REPORTED_ANSWERS
                && (learnedReportedAt == Long.MIN_VALUE || now - learnedReportedAt >= LEARNED_INTERVAL_NANOSECONDS);
    }

    long learnedReportedAt() {
        return learnedReportedAt;
    }

    /** Returns what this entry has to say about the server; empty if nothing. */
    Optional<ServerSpeed> toReport(boolean withLearned, long now) {
        Optional<StatedSlowdown> stated = own.current(now).or(() -> unreported(now));
        if (stated.isEmpty() && !withLearned) {
            return Optional.empty();
        }
        Optional<LearnedSlowdown> learned = withLearned ? Optional.of(ownLearned(now)) : Optional.empty();
        lastReportedStatement = own.statedAt();
        Optional<LastingSlowdown> reportedLasting = stated.flatMap(present -> lasting.ownEstimate());
        return Optional.of(new ServerSpeed(server.id(), server.startedAt(), stated, reportedLasting, learned));
    }

    /** With 300 entries, reports are three seconds apart; without this, the others would not hear most statements. */
    private Optional<StatedSlowdown> unreported(long now) {
        return own.statedAt().equals(lastReportedStatement) ? Optional.empty() : own.newest(now);
    }

    private LearnedSlowdown ownLearned(long now) {
        learnedReportedAt = now;
        double answers = ownAnswers.answers(now);
        return new LearnedSlowdown(Math.exp(ownAnswers.logarithmSum(now) / answers), answers);
    }

    private void countAsStating() {
        if (!countsAsStating) {
            countsAsStating = true;
            service.serverAdded();
        }
    }

    private double answers(long now) {
        return ownAnswers.answers(now) + peers.total().answers(now);
    }

    private double logarithmSum(long now) {
        return ownAnswers.logarithmSum(now) + peers.total().logarithmSum(now);
    }
}
