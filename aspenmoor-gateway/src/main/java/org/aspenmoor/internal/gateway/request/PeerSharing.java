package org.aspenmoor.internal.gateway.request;

import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.aspenmoor.internal.serving.AssignedPrompt;
import org.aspenmoor.internal.serving.EntryLoad;
import org.aspenmoor.internal.serving.EventSize;
import org.aspenmoor.internal.serving.LearnedSpeed;
import org.aspenmoor.internal.serving.LoadChange;
import org.aspenmoor.internal.serving.LoadChanges;
import org.aspenmoor.internal.serving.PeerLoads;
import org.aspenmoor.internal.serving.PeerMeasurements;
import org.aspenmoor.internal.serving.PeerReport;
import org.aspenmoor.internal.serving.PlacementPolicy;
import org.aspenmoor.internal.serving.StartDelaySummary;
import org.aspenmoor.internal.serving.entries.KnownEntries;
import org.aspenmoor.internal.serving.freshness.StoreFreshness;
import org.aspenmoor.internal.serving.limit.ServerLimits;
import org.aspenmoor.internal.serving.limit.StatedLimit;
import org.aspenmoor.internal.time.TimeSource;

/** What this entry tells the other entries and learns from them. Confined to the event loop. */
public final class PeerSharing {
    private final PeerLoads peerLoads;
    private final KnownEntries entries;
    private final PlacementPolicy placement;
    private final ServerLimits limits;
    private final ServerStatements statements;
    private final OrganisationShares shares;
    private final StoreFreshness freshness;
    private final TimeSource time;

    PeerSharing(
            PeerLoads peerLoads,
            KnownEntries entries,
            PlacementPolicy placement,
            ServerLimits limits,
            ServerStatements statements,
            OrganisationShares shares,
            StoreFreshness freshness,
            TimeSource time) {
        this.peerLoads = peerLoads;
        this.entries = entries;
        this.placement = placement;
        this.limits = limits;
        this.statements = statements;
        this.shares = shares;
        this.freshness = freshness;
        this.time = time;
    }

    /** Applies the report of another entry. */
    public void peerReported(PeerReport report, long now) {
        peerLoads.receive(report, now);
        entries.heard(report.entry(), now);
        report.prompts().forEach(prompt -> placement.promptAssignments().assignedByPeer(prompt, now));
        report.speeds().forEach(placement::speedReceived);
        report.eventSizes().forEach(placement::eventSizeReceived);
        report.roleChanges().forEach(change -> placement.roleChangeOrdered(change, now));
        report.measurements().startDelays().forEach(placement.speeds()::learnStartDelays);
        statements.reported(report, now);
        freshness.peerReported(report, now);
        shares.reported(report, now);
    }

    /** Applies changes that another entry announces of its load since its last report. */
    public void peerLoadChanged(LoadChanges changes) {
        peerLoads.receive(changes);
    }

    /** Calls the listener whenever this entry's load may have changed, at most once until the changes are taken. */
    public void onLoadChange(Runnable listener) {
        placement.loadSharing().onChange(listener);
    }

    /**
     * Returns the changes of this entry's load that are to be announced to the other entries now.
     *
     * @param permitted asked whether an announcement may be sent now, only if there is something to announce
     */
    public List<LoadChange> takeLoadChanges(BooleanSupplier permitted) {
        return placement.loadSharing().takeChanges(time.monotonicNanos(), permitted);
    }

    /** Returns the engine speeds estimated by this entry, to be reported to the other entries. */
    public List<LearnedSpeed> learnedSpeeds() {
        return placement.learnedSpeeds();
    }

    /** Returns the event sizes estimated by this entry, to be reported to the other entries. */
    public List<EventSize> eventSizes() {
        return placement.eventSizes();
    }

    /** Returns what this entry has measured itself, to be reported to the other entries. */
    public PeerMeasurements measurements() {
        long now = time.monotonicNanos();
        return new PeerMeasurements(
                placement.knownSpeeds().toReport(now),
                shares.toReport(now),
                placement.speeds().takeObservedStartDelays(),
                freshness.observations(now));
    }

    /** Returns how long answers are expected to take until they start, by service and role. */
    public List<StartDelaySummary> startDelays() {
        return placement.speeds().startDelays();
    }

    /** Returns the limits of servers, to be reported to the other entries. */
    public List<StatedLimit> statedLimits() {
        return limits.toReport(time.monotonicNanos());
    }

    /** Returns the load that this entry's own requests put on each server, by server id. */
    public Map<String, EntryLoad> ownLoads() {
        return placement.ownLoads(time.monotonicNanos());
    }

    /** Returns and clears the prompts that this entry has assigned to servers since the last call. */
    public List<AssignedPrompt> takeUnreportedPrompts() {
        return placement.promptAssignments().takeUnreported();
    }
}
