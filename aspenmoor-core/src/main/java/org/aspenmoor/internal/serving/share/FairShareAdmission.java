package org.aspenmoor.internal.serving.share;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Decides which requests of organisations are admitted while a service turns work away for lack of capacity, so that
 * organisations that demand little are served although others demand more than there is.
 *
 * <p>Each entry measures its own demand, hears of the other entries' and calculates the same allowances as they do. A
 * request of an organisation above its allowance is admitted with a probability of allowance / demand, so that it does
 * not matter at which entries an organisation's requests arrive. Confined to one thread; times are nanoseconds of the
 * monotonic clock. Handles some hundreds of entries and thousands of organisations; requests without an organisation
 * must not be passed to it.
 */
public final class FairShareAdmission {
    /** How many organisations are listed in all reports together, so that they fit into 1,400 bytes. */
    private static final int MAX_REPORTED_ORGANISATIONS = 60;

    /**
     * How many organisations are listed while nothing is turned away. The largest are enough to limit them at once when
     * that changes; the full list of 83 organisations would take a tenth of the slowest link.
     */
    private static final int MAX_REPORTED_WITHOUT_CONTENTION = 3;

    /** A datagram has room for this many services next to the organisations. */
    private static final int MAX_REPORTED_SERVICES = 8;

    /**
     * Interval of the repetitions from which the delay of refused callers is calculated. Since requests are admitted at
     * random, waiting for long does not improve a caller's chance, while its answer would be late.
     */
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(100);

    private static final double MIN_FRACTION = 1e-3;

    /** A caller that is told to wait for longer would leave; demand may have changed by then. */
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(5);

    private final RandomGenerator random;
    private final PeerDemands peers = new PeerDemands();
    private final Map<String, ServiceShares> services = new TreeMap<>();

    public FairShareAdmission(RandomGenerator random) {
        this.random = random;
    }

    /** Records a request and decides whether it is admitted. */
    public ShareDecision decide(String service, String organisation, int priority, double work, long now) {
        OrganisationClass requester = OrganisationClass.of(organisation, priority);
        ServiceShares shares = services.computeIfAbsent(service, name -> new ServiceShares(name, now));
        shares.meter().requested(requester, work, now);
        shares.update(peers, now);
        double fraction = shares.admittedFraction(requester, now);
        if (fraction >= 1) {
            return new ShareDecision.Admitted(true);
        }
        return random.nextDouble() < fraction
                ? new ShareDecision.Admitted(false)
                : new ShareDecision.Refused(retryDelay(fraction));
    }

    /** Records that the answer to an admitted request of an organisation has started. */
    public void completed(String service, double work, long now) {
        meter(service).ifPresent(meter -> meter.completed(work, now));
    }

    /** Records that an admitted request of an organisation was refused because no server had room. */
    public void turnedAway(String service, double work, long now) {
        meter(service).ifPresent(meter -> meter.turnedAway(work, now));
    }

    /** Returns this entry's own figures, to be reported to the other entries. */
    public List<ServiceDemand> toReport(long now) {
        List<ServiceShares> reported = services.values().stream()
                .filter(each -> !each.meter().idle())
                .limit(MAX_REPORTED_SERVICES)
                .toList();
        int listed = MAX_REPORTED_ORGANISATIONS / Math.max(1, reported.size());
        List<ServiceDemand> demands = new ArrayList<>();
        for (ServiceShares each : reported) {
            int most = each.contended() ? listed : Math.min(listed, MAX_REPORTED_WITHOUT_CONTENTION);
            demands.add(each.meter().demand(each.service(), most, now));
        }
        return demands;
    }

    /** Applies what another entry has reported; returns what was wrong with its figures, if anything. */
    public Optional<String> peerReported(String entry, List<ServiceDemand> demands, long now) {
        return peers.receive(entry, demands, now);
    }

    /** Forgets what an entry reported that is stopping. */
    public void peerStopped(String entry) {
        peers.remove(entry);
    }

    /** Updates all services and forgets what is out of date; to be called several times a second. */
    public void update(long now) {
        peers.expire(now);
        peers.services().forEach(service -> services.computeIfAbsent(service, name -> new ServiceShares(name, now)));
        services.values().forEach(each -> each.update(peers, now));
        services.values().removeIf(ServiceShares::unused);
    }

    /** Returns a summary of each service for which organisations have recently had requests. */
    public List<ShareSummary> summaries() {
        return services.values().stream()
                .map(ServiceShares::summary)
                .sorted(Comparator.comparing(ShareSummary::service))
                .toList();
    }

    private Optional<DemandMeter> meter(String service) {
        return Optional.ofNullable(services.get(service)).map(ServiceShares::meter);
    }

    /** Returns when a caller that repeated its request at short intervals would probably have been admitted. */
    private static Duration retryDelay(double admittedFraction) {
        double repetitions = 1 / Math.max(admittedFraction, MIN_FRACTION) - 1;
        double nanoseconds = RETRY_INTERVAL.toNanos() * repetitions;
        return Duration.ofNanos(Math.min((long) nanoseconds, MAX_RETRY_DELAY.toNanos()));
    }
}
