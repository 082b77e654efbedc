package org.aspenmoor.internal.serving.share;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.aspenmoor.internal.serving.ReportInterval;

/**
 * The demands that other entries have last reported, for some hundreds of entries. Times are nanoseconds of the
 * monotonic clock.
 */
final class PeerDemands {
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
        long retention = ReportInterval.retention(received.size()).toNanos();
        received.values().removeIf(each -> now - each.receivedAt() > retention);
    }

    /** Returns how often each entry reports, given how many there are. */
    Duration reportInterval() {
        return ReportInterval.of(received.size());
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
