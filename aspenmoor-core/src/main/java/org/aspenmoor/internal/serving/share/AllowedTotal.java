package org.aspenmoor.internal.serving.share;

/**
 * How much work per second all organisations together are allowed of one service. It falls towards the work that is
 * completed while admitted work is turned away, and rises slowly while hardly any is.
 *
 * <p>All entries calculate it from the fleet's figures. Since it falls towards a measured figure, entries that have
 * different values, such as those that have just started, approach the same one. Handles a load of several times the
 * capacity and figures that are several seconds old.
 */
final class AllowedTotal {
    /**
     * Part of the admitted work that is turned away when the servers are just busy enough. With none, servers would be
     * idle at times; callers that are refused for lack of room can still repeat their request.
     */
    private static final double TURNED_AWAY_TARGET = 0.04;

    /** Part of the admitted work that has to be turned away before anything is limited. */
    private static final double START_FRACTION = 0.08;

    /**
     * An entry that has just started limits too if this many times as much is requested as admitted, because the others
     * do so.
     */
    private static final double LIMITED_BY_OTHERS = 1.3;

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** How fast the total rises at first, per second. */
    private static final double MIN_RISE = 0.01;

    /** How much faster the total rises for each delay of the figures without work turned away, per second. */
    private static final double RISE_INCREASE = 0.02;

    private static final double MAX_RISE = 0.3;

    /** By how much the divided total may differ from the allowed one to correct for demand that changes quickly. */
    private static final double MAX_CORRECTION = 2.5;

    /** Part of the allowed work that is usually admitted; less shows that demand has fallen. */
    private static final double TOLERATED_RATIO = 0.85;

    /**
     * For how long the most work that was completed counts as what servers can do, in seconds. A few servers may reject
     * work while others idle, so a turned-away request alone does not show that the service is full.
     */
    private static final double PROVEN_SECONDS = 300;

    /** If more than this part of the admitted work is turned away, servers have probably been lost. */
    private static final double DISPROVEN_FRACTION = 1.05;

    /** How much faster the most completed work is forgotten then, per second and part of the admitted work. */
    private static final double DISPROVEN_DECAY = 0.5;

    /** Part of the most completed work that is allowed in any case; averages over a second exceed the mean at times. */
    private static final double PROVEN_FRACTION = 1.05;

    /** Less than this part of the admitted or allowed work counts as nothing. */
    private static final double NOTHING_TURNED_AWAY = 0.01;

    /**
     * After this time without work turned away, nothing is limited any more, even if the measured demand is still high.
     * Together with the averages, refusals end less than five seconds after the overload.
     */
    private static final double RELEASE_SECONDS = 2;

    private final long createdAt;
    private double allowed = Double.POSITIVE_INFINITY;
    private double admitted;
    private double proven;
    private long updatedAt;
    private long quietSince;
    private long turnedAwayAt;

    AllowedTotal(long now) {
        this.createdAt = now;
        this.updatedAt = now;
        this.quietSince = now;
        this.turnedAwayAt = now;
    }

    /**
     * Applies the fleet's present figures.
     *
     * @param delaySeconds how long a change takes to appear in the figures
     */
    void update(FleetFigures figures, double delaySeconds, long now) {
        double elapsedSeconds = Math.max(0, now - updatedAt) / NANOSECONDS_PER_SECOND;
        updatedAt = now;
        admitted = figures.completed() + figures.turnedAway();
        double turnedAwayFraction = admitted > 0 ? figures.turnedAway() / admitted : 0;
        double decay = 1 / PROVEN_SECONDS + DISPROVEN_DECAY * Math.max(0, turnedAwayFraction - DISPROVEN_FRACTION);
        proven = Math.max(figures.completed(), proven * Math.exp(-elapsedSeconds * decay));
        if (turnedAwayFraction > TURNED_AWAY_TARGET) {
            quietSince = now;
        }
        boolean unlimited = Double.isInfinite(allowed);
        if (figures.turnedAway() > NOTHING_TURNED_AWAY * (unlimited ? admitted : Math.max(admitted, allowed))) {
            turnedAwayAt = now;
        }
        if (unlimited) {
            if (turnedAwayFraction > START_FRACTION
                    || limitedByOthers(figures, turnedAwayFraction, delaySeconds, now)) {
                allowed = Math.max(admitted, provenPart());
            }
            return;
        }
        if (turnedAwayFraction > TURNED_AWAY_TARGET) {
            double target = admitted * (1 - turnedAwayFraction + TURNED_AWAY_TARGET);
            double step = 1 - Math.exp(-elapsedSeconds / delaySeconds);
            allowed = Math.max(allowed + step * (target - allowed), provenPart());
            return;
        }
        double reportSeconds = delaySeconds - DemandMeter.TOTAL_AVERAGING.toSeconds();
        boolean released =
                (now - turnedAwayAt) / NANOSECONDS_PER_SECOND > Math.max(0.5, RELEASE_SECONDS - reportSeconds);
        if (released || figures.requested() <= allowed) {
            allowed = Double.POSITIVE_INFINITY;
            return;
        }
        double quietSeconds = (now - quietSince) / NANOSECONDS_PER_SECOND;
        double rise = Math.min(MAX_RISE, MIN_RISE + RISE_INCREASE * quietSeconds / delaySeconds);
        allowed *= Math.exp(rise * elapsedSeconds);
    }

    /** Returns the allowed work per second; infinite if nothing is limited. */
    double perSecond() {
        return allowed;
    }

    /**
     * Returns what is to be divided among the measured demands so that about the allowed work is admitted. The measured
     * demands follow the real ones with a delay, so this is more than the allowed work after demand has fallen and less
     * after it has risen.
     */
    double divided() {
        if (Double.isInfinite(allowed) || admitted <= 0) {
            return allowed;
        }
        double ratio = allowed / admitted;
        double correction = ratio > 1 ? Math.max(1, TOLERATED_RATIO * ratio) : Math.sqrt(ratio);
        return allowed * Math.clamp(correction, 1 / MAX_CORRECTION, MAX_CORRECTION);
    }

    private double provenPart() {
        return PROVEN_FRACTION * proven;
    }

    private boolean limitedByOthers(FleetFigures figures, double turnedAwayFraction, double delaySeconds, long now) {
        double startSeconds = delaySeconds + DemandMeter.DEMAND_AVERAGING.toSeconds();
        return (now - createdAt) / NANOSECONDS_PER_SECOND < startSeconds
                && turnedAwayFraction > TURNED_AWAY_TARGET / 4
                && figures.requested() > LIMITED_BY_OTHERS * admitted;
    }
}
