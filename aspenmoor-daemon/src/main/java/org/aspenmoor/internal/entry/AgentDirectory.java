package org.aspenmoor.internal.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.aspenmoor.internal.link.Link;
import org.aspenmoor.internal.link.LinkNetwork;
import org.aspenmoor.internal.registration.AgentRegistration;
import org.jboss.logging.Logger;

/** The backend servers this entry knows of, and the links to their agents. */
final class AgentDirectory {
    private static final Logger LOG = Logger.getLogger("entry");
    private static final Duration RECONNECT_PAUSE = Duration.ofMillis(500);

    private final Map<String, AgentPeer> peers = new HashMap<>();
    private final Map<Link, AgentPeer> byLink = new HashMap<>();
    private final Set<String> leavingHosts = new HashSet<>();
    private final LinkNetwork network;

    AgentDirectory(LinkNetwork network) {
        this.network = network;
    }

    void registered(AgentRegistration registration, long now) {
        AgentPeer peer = peers.get(registration.backend());
        if (peer == null) {
            peer = new AgentPeer(registration);
            peers.put(registration.backend(), peer);
        } else if (!peer.registration().equals(registration)) {
            // The link leads to an earlier incarnation; it ends by itself or by its probes.
            peer.registered(registration);
        }
        markLeaving(peer);
        connectMissing(now);
    }

    void unregistered(String backend) {
        AgentPeer peer = peers.get(backend);
        if (peer != null) {
            peer.leaves("its agent has signed off");
        }
    }

    void hostChanged(String host, boolean leaving) {
        boolean changed = leaving ? leavingHosts.add(host) : leavingHosts.remove(host);
        if (changed) {
            LOG.infof("entry: host %s is %s", host, leaving ? "leaving" : "live");
            peers.values().stream()
                    .filter(peer -> peer.registration().host().equals(host))
                    .forEach(this::markLeaving);
        }
    }

    /** Takes a new link; empty where it leads to no known agent. */
    Optional<AgentPeer> opened(Link link, long now) {
        AgentPeer peer = peers.get(link.peer().getBackend());
        if (peer == null || peer.link().isPresent()) {
            link.close();
            return Optional.empty();
        }
        peer.opened(link, now);
        markLeaving(peer);
        byLink.put(link, peer);
        return Optional.of(peer);
    }

    Optional<AgentPeer> closed(Link link) {
        AgentPeer peer = byLink.remove(link);
        if (peer == null) {
            return Optional.empty();
        }
        peer.closed();
        return Optional.of(peer);
    }

    Optional<AgentPeer> of(Link link) {
        return Optional.ofNullable(byLink.get(link));
    }

    void connectMissing(long now) {
        for (AgentPeer peer : peers.values()) {
            if (peer.shouldConnect(now, RECONNECT_PAUSE.toNanos())) {
                AgentRegistration registration = peer.registration();
                network.connect(registration.address(), registration.port(), () -> {});
            }
        }
    }

    /** Lists the backend servers of a service. */
    List<AgentPeer> ofService(String team, String service) {
        List<AgentPeer> found = new ArrayList<>();
        for (AgentPeer peer : peers.values()) {
            AgentRegistration registration = peer.registration();
            if (registration.service().equals(service) && registration.team().equals(team)) {
                found.add(peer);
            }
        }
        return found;
    }

    Collection<AgentPeer> all() {
        return peers.values();
    }

    private void markLeaving(AgentPeer peer) {
        if (leavingHosts.contains(peer.registration().host())) {
            peer.leaves("its host is leaving");
        } else {
            peer.returns();
        }
    }
}
