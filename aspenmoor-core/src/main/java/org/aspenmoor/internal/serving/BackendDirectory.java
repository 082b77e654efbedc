package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.aspenmoor.internal.serving.quarantine.ServerIncarnation;

/**
 * The registered backend servers, as far as this process knows. Confined to one thread; {@code now} is the monotonic
 * clock in nanoseconds.
 *
 * <p>A registration lapses when it cannot be renewed, so after a store outage live servers appear to be removed.
 * Dropping them all when the store returns would leave callers without any server for seconds. Registrations that are
 * missing right after an outage are therefore kept for as long as live servers may need to register again. The same
 * holds if the store was restored from an older copy: the missing servers may have registered in the period that the
 * store has lost.
 */
public final class BackendDirectory {
    /**
     * Shorter interruptions let no registration lapse: servers renew about once a second, and three renewals may fail.
     */
    static final Duration MIN_OUTAGE = Duration.ofMillis(1500);

    /**
     * Time within which live servers register again after the store returns; the store's operators specify about two
     * seconds.
     */
    static final Duration REREGISTRATION_TIME = Duration.ofSeconds(2);

    /**
     * Maximum number of remembered draining servers; far more than drain within the time in which an older state may
     * still be received.
     */
    private static final int MAX_DRAINING = 512;

    private final Map<String, BackendServer> servers = new LinkedHashMap<>();
    private final Set<ServerIncarnation> draining = new LinkedHashSet<>();
    private final Set<String> registeredAsReady = new HashSet<>();
    private final Map<String, Long> unconfirmedUntil = new LinkedHashMap<>();
    private long interruptedAt = Long.MIN_VALUE;
    private boolean interrupted;
    private long graceUntil = Long.MIN_VALUE;

    /**
     * Applies a registration and returns the resulting state of the server. An incarnation that has announced that it
     * is draining never becomes ready again. A registration that shows it as ready is outdated, for example because the
     * store was restored from an older copy.
     */
    public BackendServer registrationChanged(BackendServer server) {
        BackendServer known = draining.contains(ServerIncarnation.of(server)) ? server.asDraining() : server;
        if (known.state() == BackendState.DRAINING) {
            rememberDraining(ServerIncarnation.of(server));
        }
        servers.put(server.id(), known);
        if (server.state() == BackendState.READY) {
            registeredAsReady.add(server.id());
        } else {
            registeredAsReady.remove(server.id());
        }
        unconfirmedUntil.remove(server.id());
        return known;
    }

    /**
     * Records that an incarnation has announced in an answer, to this entry or another one, that it is draining.
     * Returns whether that was unknown. The incarnation need not be registered yet.
     */
    public boolean drainAnnounced(ServerIncarnation incarnation) {
        boolean unknown = !draining.contains(incarnation);
        rememberDraining(incarnation);
        servers.computeIfPresent(
                incarnation.serverId(),
                (id, server) -> ServerIncarnation.of(server).equals(incarnation) ? server.asDraining() : server);
        return unknown;
    }

    /** Returns the servers that have announced that they are draining while their registrations say otherwise. */
    public List<ServerIncarnation> unregisteredDrains() {
        return servers.values().stream()
                .filter(this::drainsUnregistered)
                .map(ServerIncarnation::of)
                .toList();
    }

    /** Returns whether a server has announced that it is draining while its registration says otherwise. */
    public boolean drainsUnregistered(BackendServer server) {
        return server.state() == BackendState.DRAINING && registeredAsReady.contains(server.id());
    }

    /** Records that the store was restored from an older copy; missing registrations may be written again. */
    public void storeRolledBack(long now) {
        graceUntil = Math.max(graceUntil, now + REREGISTRATION_TIME.toNanos());
    }

    /**
     * Records that a registration is missing. Returns true if the server is removed at once, false if its registration
     * is kept as unconfirmed.
     */
    public boolean registrationRemoved(String id, long now) {
        boolean duringOutage = interrupted && now - interruptedAt >= MIN_OUTAGE.toNanos();
        if (duringOutage || now < graceUntil) {
            long until = Math.max(graceUntil, duringOutage ? now + REREGISTRATION_TIME.toNanos() : now);
            unconfirmedUntil.put(id, until);
            return false;
        }
        remove(id);
        return true;
    }

    /** Records that the watch of the registrations was interrupted; changes may be missed from now on. */
    public void watchInterrupted(long now) {
        if (!interrupted) {
            interrupted = true;
            interruptedAt = now;
        }
    }

    /** Records that the watch has been restored and all current registrations have been received. */
    public void watchSynchronised(long now) {
        if (interrupted && now - interruptedAt >= MIN_OUTAGE.toNanos()) {
            graceUntil = now + REREGISTRATION_TIME.toNanos();
        }
        interrupted = false;
    }

    /** Removes the unconfirmed registrations whose grace period has expired and returns their server ids. */
    public List<String> expire(long now) {
        List<String> expired = new ArrayList<>();
        unconfirmedUntil.forEach((id, until) -> {
            if (now >= until) {
                expired.add(id);
            }
        });
        for (String id : expired) {
            unconfirmedUntil.remove(id);
            remove(id);
        }
        return expired;
    }

    private void remove(String id) {
        servers.remove(id);
        registeredAsReady.remove(id);
    }

    private void rememberDraining(ServerIncarnation incarnation) {
        draining.add(incarnation);
        if (draining.size() > MAX_DRAINING) {
            draining.remove(draining.iterator().next());
        }
    }

    public Optional<BackendServer> find(String id) {
        return Optional.ofNullable(servers.get(id));
    }

    public Collection<BackendServer> servers() {
        return servers.values();
    }
}
