package org.aspenmoor.internal.serving.share;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * The demands that other entries have last reported, for some hundreds of entries. Times are nanoseconds of the
 * monotonic clock.
 */
final class PeerDemands {
    /** Each entry sends its report to all others at this interval per entry, and no more often than the minimum. */
    private static final Duration REPORT_INTERVAL_PER_ENTRY = Duration.ofMillis(10);

    private static final Duration MIN_REPORT_INTERVAL = Duration.ofMillis(100);

    /** A report is replaced by the next one; two may be lost in succession. */
    private static final int KEPT_INTERVALS = 3;

    private static final Duration MIN_KEPT = Duration.ofMillis(1500);

    /** More services than a deployment has; further ones in a report are ignored. */
    private static final int MAX_SERVICES = 64;

    private final Map<String, Received> received = new HashMap<>();

    /** Replaces what an entry reported before; returns what was wrong with its figures, if anything. */
    Optional<String> receive(String entry, List<ServiceDemand> demands, long now) {
        Map<String, ServiceDemand> usable = new HashMap<>();
        Optional<String> problem = Optional.empty();
        for (ServiceDemand demand : demands) {
            DemandCheck.Checked checked = DemandCheck.check(demand);
            if (checked.problem().isPresent()) {
                problem = checked.problem();
            }
            if (usable.containsKey(demand.service())) {
                problem = Optional.of("a service is named twice");
            } else if (usable.size() == MAX_SERVICES) {
                problem = Optional.of("more than " + MAX_SERVICES + " services");
            } else {
                checked.demand().ifPresent(each -> usable.put(each.service(), each));
            }
        }
        received.put(entry, new Received(usable, now));
        return problem;
    }

    /** Forgets an entry that is stopping. */
    void remove(String entry) {
        received.remove(entry);
    }

    /** Forgets the entries whose last report is too old. */
    void expire(long now) {
        Duration kept = reportInterval().multipliedBy(KEPT_INTERVALS);
        long keptNanoseconds = Math.max(kept.toNanos(), MIN_KEPT.toNanos());
        received.values().removeIf(each -> now - each.receivedAt() > keptNanoseconds);
    }

    /** Returns how often each entry reports, given how many there are. */
    Duration reportInterval() {
        Duration interval = REPORT_INTERVAL_PER_ENTRY.multipliedBy(received.size());
        return interval.compareTo(MIN_REPORT_INTERVAL) < 0 ? MIN_REPORT_INTERVAL : interval;
    }

    /** Returns the demands for a service. */
    List<ServiceDemand> of(String service) {
        List<ServiceDemand> demands = new ArrayList<>();
        for (Received each : received.values()) {
            ServiceDemand demand = each.demands().get(service);
            if (demand != null) {
                demands.add(demand);
            }
        }
        return demands;
    }

    /** Returns the services for which entries have reported demand. */
    Set<String> services() {
        Set<String> services = new TreeSet<>();
        received.values().forEach(each -> services.addAll(each.demands().keySet()));
        return services;
    }

    private record Received(Map<String, ServiceDemand> demands, long receivedAt) {}
}
