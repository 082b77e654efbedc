package org.aspenmoor.internal.serving.share;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** The shares of one service: its measured demand, the allowed total and how the total is divided. */
final class ServiceShares {
    /** A few times per second is enough, since the figures are averages over a second or more. */
    private static final long MIN_UPDATE_NANOSECONDS = Duration.ofMillis(100).toNanos();

    /** With thousands of reported demands the division is updated less often, so that it takes little of a processor. */
    private static final long UPDATE_NANOSECONDS_PER_DEMAND =
            Duration.ofNanos(20_000).toNanos();

    /** Part of the admitted work that was turned away some seconds after the last request. */
    private static final double CONTENDED_FRACTION = 1e-3;

    /** How many organisations are listed within this entry. */
    private static final int ALL_ORGANISATIONS = Integer.MAX_VALUE;

    /** After which time without a refusal a service counts as no longer limiting. */
    private static final long LIMITING_NANOSECONDS = Duration.ofSeconds(3).toNanos();

    private final String service;
    private final DemandMeter meter = new DemandMeter();
    private final AllowedTotal total;
    private FairAllowance allowance = FairAllowance.unlimited();
    private FleetFigures figures = FleetFigures.of(List.of());
    private long nextUpdateAt = Long.MIN_VALUE;
    private long limitedAt;
    private boolean limiting;

    ServiceShares(String service, long now) {
        this.service = service;
        this.total = new AllowedTotal(now);
    }

    String service() {
        return service;
    }

    DemandMeter meter() {
        return meter;
    }

    /** Updates the division from the fleet's figures if that is due. */
    void update(PeerDemands peers, long now) {
        if (now < nextUpdateAt) {
            return;
        }
        meter.expire(now);
        List<ServiceDemand> entries = new ArrayList<>(peers.of(service));
        entries.add(meter.demand(service, ALL_ORGANISATIONS, now));
        int demands =
                entries.stream().mapToInt(each -> each.organisations().size()).sum();
        nextUpdateAt = now + Math.max(MIN_UPDATE_NANOSECONDS, demands * UPDATE_NANOSECONDS_PER_DEMAND);
        figures = FleetFigures.of(entries);
        Duration delay = DemandMeter.TOTAL_AVERAGING.plus(peers.reportInterval());
        total.update(figures, delay.toNanos() / 1e9, now);
        allowance = Double.isInfinite(total.perSecond())
                ? FairAllowance.unlimited()
                : FairAllowance.of(figures.demands(), total.divided());
        if (allowance.limits()) {
            limiting = true;
            limitedAt = now;
        } else if (now - limitedAt > LIMITING_NANOSECONDS) {
            limiting = false;
        }
    }

    /** Returns the part of an organisation's requests that is admitted, from 0 to 1. */
    double admittedFraction(OrganisationClass requester, long now) {
        if (!allowance.limits() || allowance.knows(requester)) {
            return allowance.admittedFraction(requester);
        }
        OrganisationClass rest = new OrganisationClass(OrganisationClass.REST, requester.priority());
        double most = allowance.mostPerSecond(requester.priority());
        double demand = meter.requestedPerSecond(requester, now);
        return demand <= most
                ? 1
                : Math.max(most / demand, allowance.knows(rest) ? allowance.admittedFraction(rest) : 0);
    }

    /** Returns whether organisations are limited or were within the last seconds. */
    boolean limiting() {
        return limiting;
    }

    /** Returns whether admitted work is turned away anywhere, or was recently. */
    boolean contended() {
        double admitted = figures.completed() + figures.turnedAway();
        return limiting || figures.turnedAway() > CONTENDED_FRACTION * admitted;
    }

    /** Returns whether nothing is known of the service any more. */
    boolean unused() {
        return meter.idle() && figures.demands().isEmpty() && !limiting;
    }

    /** Returns a summary for operators. */
    ShareSummary summary() {
        return new ShareSummary(
                service,
                limiting,
                total.perSecond(),
                figures.requested(),
                figures.completed(),
                figures.turnedAway(),
                figures.demands().size());
    }
}
