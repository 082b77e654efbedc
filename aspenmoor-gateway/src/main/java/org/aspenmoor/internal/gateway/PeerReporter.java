package org.aspenmoor.internal.gateway;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.aspenmoor.internal.gateway.peers.PeerExchange;
import org.aspenmoor.internal.gateway.quarantine.FatalRequestTracker;
import org.aspenmoor.internal.gateway.request.ServingState;
import org.aspenmoor.internal.gateway.usage.UsageTracker;
import org.aspenmoor.internal.limit.TokenBucket;
import org.aspenmoor.internal.serving.LoadChange;
import org.aspenmoor.internal.serving.PeerReport;
import org.aspenmoor.internal.serving.origin.StreamOriginTracker;
import org.aspenmoor.internal.time.TimeSource;

/** Sends this entry's reports to the other entries, and announces changes of its load in between. */
final class PeerReporter {
    /** Changes within this time are announced together; engines compute a long prompt in several times as long. */
    private static final long LOAD_ANNOUNCEMENT_DELAY_MILLISECONDS = 20;

    /** Each announcement is a datagram to each peer, and wakes it; more would take too much of a small entry's processor. */
    private static final double MAX_ANNOUNCEMENTS_PER_SECOND = 2.5;

    private static final double MAX_ANNOUNCEMENT_BURST = 5;

    private final PeerExchange peers;
    private final ServingState state;
    private final FatalRequestTracker fatalRequests;
    private final StreamOriginTracker origins;
    private final Optional<UsageTracker> usage;
    private final HealthProbes healthProbes;
    private final BooleanSupplier stopping;
    private final EventLoop eventLoop;
    private final TokenBucket announcements;

    /**
     * Creates a reporter.
     *
     * @param healthProbes asked for probes whose answers the next report can contain
     * @param stopping whether this entry is stopping
     */
    PeerReporter(
            PeerExchange peers,
            ServingState state,
            FatalRequestTracker fatalRequests,
            StreamOriginTracker origins,
            Optional<UsageTracker> usage,
            HealthProbes healthProbes,
            BooleanSupplier stopping,
            EventLoop eventLoop,
            TimeSource time) {
        this.peers = peers;
        this.state = state;
        this.fatalRequests = fatalRequests;
        this.origins = origins;
        this.usage = usage;
        this.healthProbes = healthProbes;
        this.stopping = stopping;
        this.eventLoop = eventLoop;
        this.announcements = new TokenBucket(time, MAX_ANNOUNCEMENTS_PER_SECOND, MAX_ANNOUNCEMENT_BURST);
    }

    /** Sends the first report and schedules the others; to be called on the event loop. */
    void start() {
        reportRegularly();
        state.peerSharing().onLoadChange(this::scheduleAnnouncement);
    }

    /** Sends a report at once, besides the regular ones. */
    void sendReport() {
        peers.sendReport(this::createReport);
    }

    private void reportRegularly() {
        sendReport();
        Duration interval = peers.reportInterval();
        if (!stopping.getAsBoolean()) {
            healthProbes.sendBeforeReport(interval);
        }
        eventLoop.schedule(this::reportRegularly, interval.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void scheduleAnnouncement() {
        if (peers.announcesLoadChanges()) {
            eventLoop.schedule(this::announceLoadChanges, LOAD_ANNOUNCEMENT_DELAY_MILLISECONDS, TimeUnit.MILLISECONDS);
        }
    }

    private void announceLoadChanges() {
        List<LoadChange> changes = state.peerSharing().takeLoadChanges(announcements::tryAcquire);
        if (!changes.isEmpty()) {
            peers.announceLoadChanges(changes);
        }
    }

    private PeerReport createReport(String entry, long incarnation, long sequence) {
        return new PeerReport(
                entry,
                incarnation,
                sequence,
                state.peerSharing().ownLoads(),
                state.peerSharing().takeUnreportedPrompts(),
                state.peerSharing().learnedSpeeds(),
                state.peerSharing().eventSizes(),
                state.pendingRoleChanges(),
                fatalRequests.takeNextReport(),
                state.peerSharing().statedLimits(),
                state.unregisteredDrains(),
                origins.versionsToReport(),
                usage.map(UsageTracker::status),
                state.orderStanding(entry),
                state.peerSharing().measurements(),
                stopping.getAsBoolean());
    }
}
