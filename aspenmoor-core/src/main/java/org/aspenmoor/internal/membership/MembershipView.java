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
 * One entry's view of the backend servers, joined from three sources that disagree.
 *
 * <ol>
 *   <li>An agent's word that it leaves holds at once and for that incarnation for ever, whatever the host list says.
 *   <li>The list says leaving, or names a backend server no more, and the agent does not: it leaves. The platform takes
 *       the host away whether the agent has heard of it or not.
 *   <li>The list says live and the link is cut or silent: no new work until the link is back. An agent that leaves may
 *       have said so into a cut link; without this rule the promised bound would not hold in a partition.
 *   <li>The list does not know the backend server yet, and its agent says hello: it serves. The list lags.
 *   <li>The list still says leaving, and an agent of another incarnation says hello: it serves. The host has returned
 *       under the same address, and the list lags.
 *   <li>A word about an earlier incarnation, or a hello on an earlier connection, arrives late: it changes nothing.
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
     * Takes an agent's hello.
     *
     * @param connection counts this process's connections, so that a hello read late from an earlier one is seen
     * @param connectingSinceNanoseconds when this process began to connect; the hello was sent after it
     */
    public void hello(String backend, String incarnation, long connection, long connectingSinceNanoseconds) {
        member(backend).hello(incarnation, connection, connectingSinceNanoseconds);
    }

    /**
     * Takes the answer to a probe.
     *
     * <p>It proves that the agent was alive, and had not yet said that it leaves, when the probe was sent, and not when
     * the answer arrived: on a slow link, answers go on arriving long after the agent began to leave.
     */
    public void probeAnswered(String backend, long connection, long probeSentNanoseconds) {
        find(backend).ifPresent(member -> member.alive(connection, probeSentNanoseconds));
    }

    /** Takes the end of a connection. */
    public void linkLost(String backend, long connection) {
        find(backend).ifPresent(member -> member.linkLost(connection));
    }

    /** Takes an agent's word that its backend server leaves. */
    public void leaving(String backend, String incarnation) {
        member(backend).leaving(incarnation);
    }

    /** Takes the whole host list as it was read last. */
    public void hostList(List<HostListEntry> entries) {
        Set<String> listed = entries.stream().map(HostListEntry::backend).collect(Collectors.toSet());
        entries.forEach(entry -> member(entry.backend()).listed(entry.leaving()));
        members.forEach((backend, member) -> {
            if (!listed.contains(backend)) {
                member.unlisted();
            }
        });
    }

    /** Returns how a backend server stands at this moment. */
    public Standing standing(String backend) {
        long now = time.monotonicNanos();
        long silence = settings.silenceAllowed().toNanos();
        return find(backend).map(member -> member.standing(now, silence)).orElseGet(Standing.Unmet::new);
    }

    /** Says whether new work may be sent to a backend server at this moment. */
    public boolean takesNewWork(String backend) {
        return standing(backend).takesNewWork();
    }

    /** Returns how all known backend servers stand, for the state dump. */
    public Map<String, Standing> all() {
        Map<String, Standing> standings = new TreeMap<>();
        members.keySet().forEach(backend -> standings.put(backend, standing(backend)));
        return standings;
    }

    /** Forgets backend servers that no document names any more. */
    public void retain(Set<String> backends) {
        members.keySet().retainAll(backends);
    }

    private Member member(String backend) {
        return members.computeIfAbsent(backend, unused -> new Member());
    }

    private Optional<Member> find(String backend) {
        return Optional.ofNullable(members.get(backend));
    }
}
