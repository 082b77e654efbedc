package org.aspenmoor.internal.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.aspenmoor.internal.time.TimeSource;

/**
 * One entry's view of the backend servers, combined from three sources that can disagree.
 *
 * <ol>
 * <li>An agent's announcement that it leaves takes effect at once and permanently for that incarnation, whatever
 * the host list says.
 * <li>If the host list marks a backend server as leaving or no longer contains it, it is leaving, even if its agent
 * has not announced this. The platform removes the host whether or not the agent has been notified.
 * <li>If the host list says live but the link is disconnected or unresponsive, the server gets no new work until
 * the link is back. A leaving agent may have announced this on a broken link; without this rule the guaranteed
 * bound would not hold in a network partition.
 * <li>If the host list does not contain the backend server yet but its agent sends a hello, it is serving. The list
 * lags.
 * <li>If the host list still says leaving but an agent of another incarnation sends a hello, it is serving. The
 * host has returned under the same address, and the list lags.
 * <li>A late message about an earlier incarnation, or a hello on an earlier connection, changes nothing.
 * </ol>
 *
 * <p>Used by one thread only.
 */
public final class MembershipView {
    private final MembershipSettings settings;
    private final TimeSource time;
    private final Map<String, Member> members = new HashMap<>();

    public MembershipView(MembershipSettings settings, TimeSource time) {
        this.settings = settings;
        this.time = time;
    }

    /**
     * Records an agent's hello.
     *
     * @param connection sequence number of this process's connections, to detect a late hello from an earlier one
     * @param connectingSinceNanoseconds when this process began to connect; the hello was sent after this time
     */
    public void helloReceived(String server, String incarnation, long connection, long connectingSinceNanoseconds) {
        member(server).helloReceived(incarnation, connection, connectingSinceNanoseconds);
    }

    /**
     * Records the response to a probe.
     *
     * <p>It proves that the agent was alive, and had not yet announced that it leaves, when the probe was sent, not
     * when the response arrived: on a slow link, responses keep arriving long after the agent has begun to leave.
     */
    public void probeAnswered(String server, long connection, long probeSentNanoseconds) {
        find(server).ifPresent(member -> member.probeAnswered(connection, probeSentNanoseconds));
    }

    /** Records the loss of a connection. */
    public void linkLost(String server, long connection) {
        find(server).ifPresent(member -> member.linkLost(connection));
    }

    /** Records an agent's announcement that its backend server leaves. */
    public void leavingAnnounced(String server, String incarnation) {
        member(server).leavingAnnounced(incarnation);
    }

    /** Processes the complete host list as it was last read. */
    public void hostListRead(List<HostListEntry> entries) {
        Set<String> listed = entries.stream().map(HostListEntry::server).collect(Collectors.toSet());
        entries.forEach(entry -> member(entry.server()).listed(entry.leaving()));
        members.forEach((server, member) -> {
            if (!listed.contains(server)) {
                member.removedFromList();
            }
        });
    }

    /** Returns the current state of a backend server. */
    public MembershipState state(String server) {
        long nowNanos = time.monotonicNanos();
        long linkTimeoutNanos = settings.linkTimeout().toNanos();
        return find(server)
                .map(member -> member.state(nowNanos, linkTimeoutNanos))
                .orElseGet(MembershipState.NeverConnected::new);
    }

    /** Returns whether new work may currently be sent to a backend server. */
    public boolean acceptsNewWork(String server) {
        return state(server).acceptsNewWork();
    }

    /** Returns the states of all known backend servers, for the state dump. */
    public Map<String, MembershipState> states() {
        Map<String, MembershipState> states = new TreeMap<>();
        members.keySet().forEach(server -> states.put(server, state(server)));
        return states;
    }

    /** Removes backend servers that no document names any more. */
    public void retainOnly(Set<String> servers) {
        members.keySet().retainAll(servers);
    }

    private Member member(String server) {
        return members.computeIfAbsent(server, unused -> new Member());
    }

    private Optional<Member> find(String server) {
        return Optional.ofNullable(members.get(server));
    }
}
