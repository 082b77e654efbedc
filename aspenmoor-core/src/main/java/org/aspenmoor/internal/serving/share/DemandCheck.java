package org.aspenmoor.internal.serving.share;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Drops figures that no entry measures from what another entry reported, so that the others still count. */
final class DemandCheck {
    /** Far above what any service handles, even if the work is counted in tokens. */
    private static final double MAX_WORK_PER_SECOND = 1e9;

    /** A datagram holds fewer. */
    private static final int MAX_ORGANISATIONS = 200;

    private DemandCheck() {}

    /** Checks the reported demand for one service. */
    static Checked check(ServiceDemand reported) {
        if (!usable(reported.completedPerSecond()) || !usable(reported.turnedAwayPerSecond())) {
            return new Checked(Optional.empty(), Optional.of("rates of the service are out of range"));
        }
        Map<OrganisationClass, OrganisationDemand> byRequester = new LinkedHashMap<>();
        Optional<String> problem = Optional.empty();
        for (OrganisationDemand each : reported.organisations()) {
            OrganisationClass requester = new OrganisationClass(each.organisation(), each.priority());
            if (!usable(each.workPerSecond()) || each.priority() < 0) {
                problem = Optional.of("figures of an organisation are out of range");
            } else if (byRequester.containsKey(requester)) {
                problem = Optional.of("an organisation is named twice");
            } else if (byRequester.size() == MAX_ORGANISATIONS) {
                problem = Optional.of("more than " + MAX_ORGANISATIONS + " organisations");
            } else {
                byRequester.put(requester, each);
            }
        }
        ServiceDemand checked = new ServiceDemand(
                reported.service(),
                List.copyOf(byRequester.values()),
                reported.completedPerSecond(),
                reported.turnedAwayPerSecond());
        return new Checked(Optional.of(checked), problem);
    }

    private static boolean usable(double rate) {
        return rate >= 0 && rate <= MAX_WORK_PER_SECOND;
    }

    /**
     * What is left of a reported demand.
     *
     * @param demand the usable part; empty if there is none
     * @param problem what was dropped, if anything
     */
    record Checked(Optional<ServiceDemand> demand, Optional<String> problem) {}
}
