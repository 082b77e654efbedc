package org.aspenmoor.internal.gateway.request;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.serving.BackendDirectory;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.BackendState;
import org.aspenmoor.internal.serving.PlacementPolicy;
import org.aspenmoor.internal.serving.quarantine.ServerIncarnation;

/** Applies the server list of the store to the directory and the placement of servers. Confined to the event loop. */
final class RegisteredServers {
    private final BackendDirectory directory;
    private final PlacementPolicy placementPolicy;
    private final ToIntFunction<BackendServer> cacheTokens;
    private final DecisionLog log;
    private boolean listKnown;
    private boolean listCurrent;

    /**
     * Creates the servers of an entry that knows none yet.
     *
     * @param cacheTokens returns how many tokens a server caches
     */
    RegisteredServers(
            BackendDirectory directory,
            PlacementPolicy placementPolicy,
            ToIntFunction<BackendServer> cacheTokens,
            DecisionLog log) {
        this.directory = directory;
        this.placementPolicy = placementPolicy;
        this.cacheTokens = cacheTokens;
        this.log = log;
    }

    /** Applies the registration of a server. */
    void registered(BackendServer registration) {
        Optional<BackendServer> previous = directory.find(registration.id());
        BackendServer server = directory.registrationChanged(registration);
        if (server.state() != registration.state()) {
            log.notable("server-not-believed")
                    .with("server", registration.id())
                    .with("told", registration.state().name())
                    .with("reason", "this server process has already announced that it is leaving")
                    .write();
        }
        placementPolicy.serverChanged(server, cacheTokens.applyAsInt(server));
        if (previous.isEmpty() || !previous.get().equals(server)) {
            logKnown(server);
        }
    }

    /** Records that a registration is missing; returns true if the server was removed, false if it is only suspect. */
    boolean registrationMissing(String id, long now) {
        boolean removed = directory.registrationRemoved(id, now);
        log.notable(removed ? "server-gone" : "server-doubtful")
                .with("server", id)
                .write();
        if (removed) {
            placementPolicy.serverRemoved(id);
        }
        return removed;
    }

    /** Records that the store was restored from an older copy. */
    void storeRolledBack(long now) {
        directory.storeRolledBack(now);
    }

    /** Records that the server list may miss changes from now on. */
    void listInterrupted(long now) {
        directory.watchInterrupted(now);
        listCurrent = false;
    }

    /** Records that the server list is complete. */
    void listSynchronised(long now) {
        directory.watchSynchronised(now);
        listKnown = true;
        listCurrent = true;
    }

    /** Removes servers whose time limit for registering again has passed; returns their ids. */
    Iterable<String> expire(long now) {
        Iterable<String> removed = directory.expire(now);
        for (String id : removed) {
            placementPolicy.serverRemoved(id);
            log.notable("server-gone")
                    .with("server", id)
                    .with("reason", "the server did not register again after a store outage")
                    .write();
        }
        return removed;
    }

    /** Applies a changed configuration of the services to all servers. */
    void servicesChanged() {
        directory.servers().forEach(server -> placementPolicy.serverChanged(server, cacheTokens.applyAsInt(server)));
    }

    /** Returns whether the server list has been complete at any time. */
    boolean listKnown() {
        return listKnown;
    }

    /** Returns whether the server list is complete and its watch works. */
    boolean listCurrent() {
        return listCurrent;
    }

    /** Returns all servers. */
    Collection<BackendServer> all() {
        return directory.servers();
    }

    /** Returns whether this incarnation of the server is registered as ready. */
    boolean acceptsWork(BackendServer server) {
        return directory
                .find(server.id())
                .filter(known -> known.sameIncarnation(server) && known.state() == BackendState.READY)
                .isPresent();
    }

    /** Returns whether a server has announced that it is draining while its registration says otherwise. */
    boolean drainsUnregistered(BackendServer server) {
        return directory.drainsUnregistered(server);
    }

    /** Returns the servers that have announced that they are draining while their registrations say otherwise. */
    List<ServerIncarnation> unregisteredDrains() {
        return directory.unregisteredDrains();
    }

    private void logKnown(BackendServer server) {
        log.notable("server-known")
                .with("server", server.id())
                .with("service", server.service())
                .with("softwareVersion", server.softwareVersion().name())
                .with("address", server.host() + ":" + server.port())
                .with("dataCentre", server.dataCentre())
                .with("state", server.state().name())
                .with("role", server.role().name())
                .with("startedAt", server.startedAt())
                .write();
    }
}
