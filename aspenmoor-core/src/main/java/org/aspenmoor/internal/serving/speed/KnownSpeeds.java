package org.aspenmoor.internal.serving.speed;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.EntryLoad;
import org.aspenmoor.internal.serving.ServerSpeed;

/**
 * The speeds of all registered servers as far as this entry knows, and what it reports of them to the others. Confined to
 * one thread; times are nanoseconds of the monotonic clock.
 *
 * <p>Handles some tens of servers, thousands of answers and some hundreds of reports a second. Only servers of services
 * that state their slowdown are reported, so that nothing changes for the others.
 */
public final class KnownSpeeds {
    /** Limits the size of a report; what does not fit is in the next ones. */
    private static final int MAX_LEARNED_IN_REPORT = 12;

    private static final long EXPIRY_INTERVAL_NANOSECONDS =
            Duration.ofSeconds(1).toNanos();

    private final Map<String, KnownSpeed> byServer = new HashMap<>();
    private final Map<String, StatingService> services = new HashMap<>();
    private final ServiceActivity activity = new ServiceActivity();
    private long expiredAt = Long.MIN_VALUE;

    /** Returns the speed of a server that has been registered; nothing is known of a new incarnation. */
    public KnownSpeed serverChanged(BackendServer server) {
        KnownSpeed known = byServer.get(server.id());
        if (known != null && known.describes(server)) {
            return known;
        }
        serverRemoved(server.id());
        StatingService service = services.computeIfAbsent(server.service(), unseen -> new StatingService());
        KnownSpeed added = new KnownSpeed(server, service);
        byServer.put(server.id(), added);
        return added;
    }

    /** Forgets a server. */
    public void serverRemoved(String id) {
        KnownSpeed removed = byServer.remove(id);
        if (removed != null && removed.countsAsStating()) {
            removed.service().serverRemoved();
        }
    }

    /** Returns the speed of a server; empty if it is not registered. */
    public Optional<KnownSpeed> find(String id) {
        return Optional.ofNullable(byServer.get(id));
    }

    /** Records that a server has stated its slowdown with an answer to this entry. */
    public void stated(BackendServer server, double slowdown, long now) {
        KnownSpeed known = byServer.get(server.id());
        if (known != null && known.describes(server)) {
            known.statedToThisEntry(SpeedLimits.clamp(slowdown), now);
        }
    }

    /** Applies what another entry reports; statements of incarnations that are not registered are ignored. */
    public void reported(String entry, List<ServerSpeed> speeds, long now) {
        for (ServerSpeed speed : speeds) {
            KnownSpeed known = byServer.get(speed.server());
            if (known != null && known.isIncarnation(speed.startedAt())) {
                known.reported(entry, speed, now);
            }
        }
    }

    /** Records a request for a service at this entry. */
    public void requestArrived(String service, long now) {
        activity.requestSeen(service, now);
    }

    /** Records the load that another entry has put on servers, by server id. */
    public void loadReported(Map<String, EntryLoad> loads, long now) {
        loads.forEach((id, load) -> {
            if (load.requests() > 0) {
                find(id).ifPresent(known -> activity.requestSeen(known.server().service(), now));
            }
        });
    }

    ServiceActivity activity() {
        return activity;
    }

    /** Returns what this entry has measured itself, to be reported to the other entries. */
    public List<ServerSpeed> toReport(long now) {
        expire(now);
        List<KnownSpeed> inUse =
                byServer.values().stream().filter(KnownSpeed::inUse).toList();
        Set<KnownSpeed> withLearned = inUse.stream()
                .filter(known -> known.learnedIsDue(now))
                .sorted(Comparator.comparingLong(KnownSpeed::learnedReportedAt))
                .limit(MAX_LEARNED_IN_REPORT)
                .collect(Collectors.toSet());
        return inUse.stream()
                .map(known -> known.toReport(withLearned.contains(known), now))
                .flatMap(Optional::stream)
                .toList();
    }

    private void expire(long now) {
        if (expiredAt != Long.MIN_VALUE && now - expiredAt < EXPIRY_INTERVAL_NANOSECONDS) {
            return;
        }
        expiredAt = now;
        byServer.values().forEach(known -> known.expire(now));
    }
}
