package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.aspenmoor.internal.serving.quarantine.ServerIncarnation;

/**
 * The backend servers that are registered, as far as this process knows. Confined to one thread.
 *
 * <p>A server's registration lapses when it cannot be renewed, so an outage of the store makes live servers look gone.
 * Dropping them all at the store's return would leave callers without any server for seconds. Registrations that are
 * missing right after an outage therefore stay for as long as live servers may need to return. So do those that are missing
 * where the store has come back from an older copy: they may have registered in the seconds that it has lost.
 */
public final class BackendDirectory {
    /** Interruptions shorter than this let no registration lapse: servers renew about once a second, three may fail. */
    static final Duration SHORTEST_OUTAGE = Duration.ofMillis(1500);

    /** Live servers are registered again about two seconds after the store's return, as its operators state. */
    static final Duration RETURN_TIME = Duration.ofSeconds(2);

    /** Far more than leave within the time in which an older state may be told. */
    private static final int MOST_LEAVING = 512;

    private final Map<String, BackendServer> servers = new LinkedHashMap<>();
    private final Set<ServerIncarnation> leaving = new LinkedHashSet<>();
    private final Map<String, Long> doubtfulUntil = new LinkedHashMap<>();
    private long interruptedAt = Long.MIN_VALUE;
    private boolean interrupted;
    private long graceUntil = Long.MIN_VALUE;

    /**
     * Takes a registration in and returns what is believed of the server. One start that has said that it leaves does not
     * stay after all; a registration that calls it ready again is older, as a store that came back from a copy tells it.
     */
    public BackendServer changed(BackendServer server) {
        BackendServer believed = leaving.contains(ServerIncarnation.of(server)) ? server.leaving() : server;
        if (believed.state() == BackendState.DRAINING) {
            noteLeaving(ServerIncarnation.of(server));
        }
        servers.put(server.id(), believed);
        doubtfulUntil.remove(server.id());
        return believed;
    }

    /** Notes that the store has come back from an older copy; what is missing there now may be written again. */
    public void cameBackOlder(long now) {
        graceUntil = Math.max(graceUntil, now + RETURN_TIME.toNanos());
    }

    /** Notes that a registration is missing; returns whether the server counts as gone at once. */
    public boolean removed(String id, long now) {
        boolean duringOutage = interrupted && now - interruptedAt >= SHORTEST_OUTAGE.toNanos();
        if (duringOutage || now < graceUntil) {
            long until = Math.max(graceUntil, duringOutage ? now + RETURN_TIME.toNanos() : now);
            doubtfulUntil.put(id, until);
            return false;
        }
        servers.remove(id);
        return true;
    }

    /** Notes that changes may be missed from now on. */
    public void interrupted(long now) {
        if (!interrupted) {
            interrupted = true;
            interruptedAt = now;
        }
    }

    /** Notes that all registrations have been told. */
    public void synchronised(long now) {
        if (interrupted && now - interruptedAt >= SHORTEST_OUTAGE.toNanos()) {
            graceUntil = now + RETURN_TIME.toNanos();
        }
        interrupted = false;
    }

    /** Drops the doubtful registrations whose time is over and returns them. */
    public List<String> expire(long now) {
        List<String> gone = new ArrayList<>();
        doubtfulUntil.forEach((id, until) -> {
            if (now >= until) {
                gone.add(id);
            }
        });
        for (String id : gone) {
            doubtfulUntil.remove(id);
            servers.remove(id);
        }
        return gone;
    }

    private void noteLeaving(ServerIncarnation start) {
        leaving.add(start);
        if (leaving.size() > MOST_LEAVING) {
            leaving.remove(leaving.iterator().next());
        }
    }

    /** Returns a server. */
    public Optional<BackendServer> find(String id) {
        return Optional.ofNullable(servers.get(id));
    }

    /** Returns all servers. */
    public Collection<BackendServer> servers() {
        return servers.values();
    }
}
