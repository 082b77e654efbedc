package org.aspenmoor.internal.gateway.request;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.serving.PeerReport;
import org.aspenmoor.internal.serving.share.FairShareAdmission;
import org.aspenmoor.internal.serving.share.ServiceDemand;
import org.aspenmoor.internal.serving.share.ShareSummary;

/** The shares of organisations in each service, and what is logged about them. Confined to the event loop. */
public final class OrganisationShares {
    private static final long INVALID_LOGGED_NANOSECONDS = 60_000_000_000L;

    private final FairShareAdmission admission;
    private final DecisionLog log;
    private final Set<String> limiting = new HashSet<>();
    private long invalidLoggedAt;
    private boolean invalidSeen;

    OrganisationShares(FairShareAdmission admission, DecisionLog log) {
        this.admission = admission;
        this.log = log;
    }

    FairShareAdmission admission() {
        return admission;
    }

    /** Returns this entry's own figures, to be reported to the other entries. */
    List<ServiceDemand> toReport(long now) {
        return admission.toReport(now);
    }

    /** Applies the figures of another entry; what is wrong with them is logged once a minute. */
    void reported(PeerReport report, long now) {
        if (report.stopping()) {
            admission.peerStopped(report.entry());
            return;
        }
        Optional<String> problem =
                admission.peerReported(report.entry(), report.measurements().serviceDemands(), now);
        if (problem.isEmpty() || (invalidSeen && now - invalidLoggedAt < INVALID_LOGGED_NANOSECONDS)) {
            return;
        }
        invalidSeen = true;
        invalidLoggedAt = now;
        log.notable("reported-demand-ignored")
                .with("entry", report.entry())
                .with("reason", problem.get())
                .write();
    }

    /** Updates all shares and logs which services have started or stopped limiting. */
    void update(long now) {
        admission.update(now);
        List<ShareSummary> summaries = admission.summaries();
        Set<String> known = new HashSet<>();
        for (ShareSummary summary : summaries) {
            known.add(summary.service());
            if (summary.limiting() && limiting.add(summary.service())) {
                logChange("shares-limited", summary);
            } else if (!summary.limiting() && limiting.remove(summary.service())) {
                logChange("shares-unlimited", summary);
            }
        }
        limiting.retainAll(known);
    }

    /** Returns a summary of each service for which organisations have recently had requests. */
    public List<ShareSummary> summaries() {
        return admission.summaries();
    }

    private void logChange(String event, ShareSummary summary) {
        log.notable(event)
                .with("service", summary.service())
                .with("requestedPerSecond", Math.round(summary.requestedPerSecond()))
                .with("completedPerSecond", Math.round(summary.completedPerSecond()))
                .with("turnedAwayPerSecond", Math.round(summary.turnedAwayPerSecond()))
                .with("demands", summary.demands())
                .write();
    }
}
