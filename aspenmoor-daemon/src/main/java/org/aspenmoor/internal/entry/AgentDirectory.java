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

/** The known backend servers, the links to their agents, and whether each server accepts new work. */
final class AgentDirectory {
    private static final Logger LOG = Logger.getLogger("entry");
    private static final Duration RECONNECT_INTERVAL = Duration.ofMillis(500);
    private static final int PROBE_HISTORY_SIZE = 64;

    private final Map<String, AgentPeer> peers = new HashMap<>();
    private final Map<Link, AgentPeer> peersByLink = new HashMap<>();
    private final Map<String, Boolean> leavingByHost = new HashMap<>();
    private final long[] probeSentAt = new long[PROBE_HISTORY_SIZE];
    private final LinkNetwork network;
    private final MembershipView membership;
    private final Supplier<CircuitBreaker> breakerFactory;
    private final PeerListener listener;
    private boolean hostListComplete;
    private long lastConnectionNumber;
    private long lastProbeNumber;

    AgentDirectory(
            LinkNetwork network,
            MembershipView membership,
            Supplier<CircuitBreaker> breakerFactory,
            PeerListener listener) {
        this.network = network;
        this.membership = membership;
        this.breakerFactory = breakerFactory;
        this.listener = listener;
    }

    void register(AgentRegistration registration, long now) {
        AgentPeer peer = peers.get(registration.backend());
        if (peer == null) {
            peers.put(registration.backend(), new AgentPeer(registration, breakerFactory.get()));
            applyHostList();
        } else {
            // An open link still belongs to the earlier incarnation; it closes by itself or when probes go unanswered.
            peer.updateRegistration(registration);
        }
        connectMissing(now);
    }

    /** Handles the removal of a registration: the agent has announced that its backend server is leaving. */
    void unregister(String backend) {
        AgentPeer peer = peers.get(backend);
        if (peer != null) {
            membership.leavingAnnounced(backend, peer.registration().incarnation());
        }
    }

    void updateHost(String host, boolean leaving) {
        leavingByHost.put(host, leaving);
        applyHostList();
    }

    void removeHost(String host) {
        leavingByHost.remove(host);
        applyHostList();
    }

    /** Handles the completion of the host list; before that, the absence of a host has no meaning. */
    void completeHostList() {
        hostListComplete = true;
        applyHostList();
    }

    /**
     * Registers a new link and returns its server; closes the link and returns empty if the server is unknown or
     * already linked.
     */
    Optional<AgentPeer> linkOpened(Link link) {
        AgentPeer peer = peers.get(link.peer().getBackend());
        if (peer == null || peer.link().isPresent()) {
            link.close();
            return Optional.empty();
        }
        lastConnectionNumber++;
        peer.linkOpened(link, lastConnectionNumber);
        membership.helloReceived(
                peer.backend(), link.peer().getIncarnation(), lastConnectionNumber, peer.lastConnectAttemptAt());
        peersByLink.put(link, peer);
        return Optional.of(peer);
    }

    Optional<AgentPeer> linkClosed(Link link) {
        AgentPeer peer = peersByLink.remove(link);
        if (peer == null) {
            return Optional.empty();
        }
        membership.linkLost(peer.backend(), peer.connectionNumber());
        peer.linkClosed();
        listener.linkClosed(peer);
        return Optional.of(peer);
    }

    Optional<AgentPeer> findByLink(Link link) {
        return Optional.ofNullable(peersByLink.get(link));
    }

    /** Handles a report by an agent that its backend server is leaving. */
    void markLeaving(AgentPeer peer, String reason) {
        LOG.infof("entry: backend server %s is leaving: %s", peer.backend(), reason);
        peer.link()
                .ifPresent(link ->
                        membership.leavingAnnounced(peer.backend(), link.peer().getIncarnation()));
    }

    void connectMissing(long now) {
        for (AgentPeer peer : peers.values()) {
            if (peer.beginConnectIfDue(now, RECONNECT_INTERVAL.toNanos())) {
                AgentRegistration registration = peer.registration();
                network.connect(registration.address(), registration.port(), () -> {});
            }
        }
    }

    /** Sends a probe on every open link. */
    void sendProbes(long now) {
        lastProbeNumber++;
        probeSentAt[slotOf(lastProbeNumber)] = now;
        Frame probe = Frame.newBuilder()
                .setProbe(Probe.newBuilder().setNumber(lastProbeNumber))
                .build();
        peersByLink.keySet().forEach(link -> link.send(probe));
    }

    /** Handles the answer to a probe; answers to probes older than the history are ignored. */
    void probeAnswered(AgentPeer peer, long number) {
        if (number > lastProbeNumber - PROBE_HISTORY_SIZE && number <= lastProbeNumber) {
            membership.probeAnswered(peer.backend(), peer.connectionNumber(), probeSentAt[slotOf(number)]);
        }
    }

    /** Returns whether new work may be sent to a backend server. */
    boolean acceptsWork(AgentPeer peer) {
        return peer.isReady() && membership.acceptsNewWork(peer.backend());
    }

    MembershipState standing(AgentPeer peer) {
        return membership.state(peer.backend());
    }

    /** Returns the backend servers of a service. */
    List<AgentPeer> findByService(String team, String service) {
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
        if (!hostListComplete) {
            return;
        }
        List<HostListEntry> entries = new ArrayList<>();
        for (AgentPeer peer : peers.values()) {
            Boolean leaving = leavingByHost.get(peer.registration().host());
            if (leaving != null) {
                entries.add(new HostListEntry(peer.backend(), leaving));
            }
        }
        membership.hostListRead(entries);
    }

    private static int slotOf(long probe) {
        return (int) (probe % PROBE_HISTORY_SIZE);
    }
}
