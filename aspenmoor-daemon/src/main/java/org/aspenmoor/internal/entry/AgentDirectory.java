package org.aspenmoor.internal.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.aspenmoor.internal.link.Link;
import org.aspenmoor.internal.link.LinkNetwork;
import org.aspenmoor.internal.membership.HostListEntry;
import org.aspenmoor.internal.membership.MembershipState;
import org.aspenmoor.internal.membership.MembershipView;
import org.aspenmoor.internal.registration.AgentRegistration;
import org.aspenmoor.internal.retry.CircuitBreaker;
import org.aspenmoor.internal.wire.v1.Frame;
import org.aspenmoor.internal.wire.v1.Probe;
import org.jboss.logging.Logger;

/** The backend servers this entry knows of, the links to their agents, and whether each may be given work. */
final class AgentDirectory {
    private static final Logger LOG = Logger.getLogger("entry");
    private static final Duration RECONNECT_PAUSE = Duration.ofMillis(500);
    private static final int PROBES_REMEMBERED = 64;

    private final Map<String, AgentPeer> peers = new HashMap<>();
    private final Map<Link, AgentPeer> byLink = new HashMap<>();
    private final Map<String, Boolean> hostsLeaving = new HashMap<>();
    private final long[] probeSentAt = new long[PROBES_REMEMBERED];
    private final LinkNetwork network;
    private final MembershipView membership;
    private final Supplier<CircuitBreaker> breakers;
    private final PeerListener listener;
    private boolean hostListKnown;
    private long connections;
    private long probes;

    AgentDirectory(
            LinkNetwork network, MembershipView membership, Supplier<CircuitBreaker> breakers, PeerListener listener) {
        this.network = network;
        this.membership = membership;
        this.breakers = breakers;
        this.listener = listener;
    }

    void registered(AgentRegistration registration, long now) {
        AgentPeer peer = peers.get(registration.backend());
        if (peer == null) {
            peers.put(registration.backend(), new AgentPeer(registration, breakers.get()));
            applyHostList();
        } else {
            // An open link still leads to the earlier incarnation; it ends by itself or by its probes.
            peer.registered(registration);
        }
        connectMissing(now);
    }

    /** Takes that an agent has signed off: it said itself that it leaves. */
    void unregistered(String backend) {
        AgentPeer peer = peers.get(backend);
        if (peer != null) {
            membership.leavingAnnounced(backend, peer.registration().incarnation());
        }
    }

    void hostChanged(String host, boolean leaving) {
        hostsLeaving.put(host, leaving);
        applyHostList();
    }

    void hostGone(String host) {
        hostsLeaving.remove(host);
        applyHostList();
    }

    /** Takes that the host list was told whole; before that, a missing host says nothing. */
    void hostListKnown() {
        hostListKnown = true;
        applyHostList();
    }

    /** Takes a new link; empty where it leads to no known agent. */
    Optional<AgentPeer> opened(Link link) {
        AgentPeer peer = peers.get(link.peer().getBackend());
        if (peer == null || peer.link().isPresent()) {
            link.close();
            return Optional.empty();
        }
        connections++;
        peer.opened(link, connections);
        membership.helloReceived(peer.backend(), link.peer().getIncarnation(), connections, peer.connectTriedAt());
        byLink.put(link, peer);
        return Optional.of(peer);
    }

    Optional<AgentPeer> closed(Link link) {
        AgentPeer peer = byLink.remove(link);
        if (peer == null) {
            return Optional.empty();
        }
        membership.linkLost(peer.backend(), peer.connection());
        peer.closed();
        listener.gone(peer);
        return Optional.of(peer);
    }

    Optional<AgentPeer> of(Link link) {
        return Optional.ofNullable(byLink.get(link));
    }

    /** Takes an agent's word that its backend server leaves. */
    void leaving(AgentPeer peer, String reason) {
        LOG.infof("entry: backend %s is leaving, %s", peer.backend(), reason);
        peer.link()
                .ifPresent(link ->
                        membership.leavingAnnounced(peer.backend(), link.peer().getIncarnation()));
    }

    void connectMissing(long now) {
        for (AgentPeer peer : peers.values()) {
            if (peer.shouldConnect(now, RECONNECT_PAUSE.toNanos())) {
                AgentRegistration registration = peer.registration();
                network.connect(registration.address(), registration.port(), () -> {});
            }
        }
    }

    /** Sends a probe on every link. */
    void probe(long now) {
        probes++;
        probeSentAt[slotOf(probes)] = now;
        Frame probe = Frame.newBuilder()
                .setProbe(Probe.newBuilder().setNumber(probes))
                .build();
        byLink.keySet().forEach(link -> link.send(probe));
    }

    /** Takes the answer to a probe. */
    void probeAnswered(AgentPeer peer, long number) {
        if (number > probes - PROBES_REMEMBERED && number <= probes) {
            membership.probeAnswered(peer.backend(), peer.connection(), probeSentAt[slotOf(number)]);
        }
    }

    /** Says whether new work may go to a backend server. */
    boolean takesWork(AgentPeer peer) {
        return peer.isReady() && membership.acceptsNewWork(peer.backend());
    }

    MembershipState standing(AgentPeer peer) {
        return membership.state(peer.backend());
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

    Optional<AgentPeer> find(String backend) {
        return Optional.ofNullable(peers.get(backend));
    }

    Collection<AgentPeer> all() {
        return peers.values();
    }

    private void applyHostList() {
        if (!hostListKnown) {
            return;
        }
        List<HostListEntry> entries = new ArrayList<>();
        for (AgentPeer peer : peers.values()) {
            Boolean leaving = hostsLeaving.get(peer.registration().host());
            if (leaving != null) {
                entries.add(new HostListEntry(peer.backend(), leaving));
            }
        }
        membership.hostListRead(entries);
    }

    private static int slotOf(long probe) {
        return (int) (probe % PROBES_REMEMBERED);
    }
}
