package org.aspenmoor.internal.serving.speed;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.aspenmoor.internal.serving.BackendServer;

/**
 * Decides which servers this entry asks for their slowdown now. Confined to one thread; times are nanoseconds of the
 * monotonic clock.
 *
 * <p>Engines that only compute prompts state nothing with their answers, and others answer an entry every few seconds;
 * slow phases last half a second. The entries therefore share the work of asking each server of a busy service several
 * times a second: one entry asks, its reports tell the others, and statements that come with answers make probes
 * unnecessary. How many probes a server gets does not depend on the number of entries.
 *
 * <p>A service of which no server has stated a slowdown is asked once by each entry: one answer of one server.
 * Handles some tens of servers and 300 entries, ten times a second.
 */
public final class ProbeSchedule {
    /** Half of the length of a slow phase; a later statement often describes a phase that has ended since. */
    private static final long BUSY_INTERVAL_NANOSECONDS = Duration.ofMillis(300).toNanos();

    /** Without requests, statements only serve to know the lasting speed. */
    private static final long IDLE_INTERVAL_NANOSECONDS = Duration.ofSeconds(10).toNanos();

    /** Bounds the connections and the time that probes take from requests. */
    private static final int MAX_OUTSTANDING = 8;

    private final KnownSpeeds speeds;
    private final EntryTurns turns;
    private final Map<String, ProbedServer> probed = new HashMap<>();
    private final Set<String> askedServices = new HashSet<>();

    public ProbeSchedule(KnownSpeeds speeds, EntryTurns turns) {
        this.speeds = speeds;
        this.turns = turns;
    }

    /**
     * Returns the servers to be probed now, those first whose statement is most overdue, and takes them as probed. The
     * result of each has to be recorded.
     *
     * @param servers the servers that can be probed: they have a path for it, and nothing speaks against a call
     */
    public List<BackendServer> take(Collection<BackendServer> servers, long now) {
        return takeDue(servers, turns.reportIntervalNanoseconds() / 2, now);
    }

    /**
     * Like {@link #take}, to be called shortly before this entry reports to the others. Probes are sent earlier then and
     * later at other times, because a statement that is reported at once is more recent when the others hear of it.
     */
    public List<BackendServer> takeBeforeReport(Collection<BackendServer> servers, long now) {
        return takeDue(servers, -turns.reportIntervalNanoseconds() / 2, now);
    }

    private List<BackendServer> takeDue(Collection<BackendServer> servers, long shift, long now) {
        probed.keySet().removeIf(id -> speeds.find(id).isEmpty());
        int room = MAX_OUTSTANDING
                - (int) probed.values().stream()
                        .filter(ProbedServer::outstanding)
                        .count();
        List<BackendServer> taken = Stream.concat(unaskedServices(servers, now), overdue(servers, shift, now))
                .limit(Math.max(0, room))
                .toList();
        taken.forEach(server -> probed(server).sent(now));
        return taken;
    }

    /** Records that a server has answered a probe; what it stated has been applied before. */
    public void answered(BackendServer server, long now) {
        askedServices.add(server.service());
        find(server).ifPresent(known -> {
            if (statedSince(server, known.sentAt())) {
                known.succeeded();
            } else {
                known.unsuccessful(now);
            }
        });
    }

    /** Records that a probe was not sent or not answered. */
    public void failed(BackendServer server, long now) {
        find(server).ifPresent(known -> known.unsuccessful(now));
    }

    private Stream<BackendServer> overdue(Collection<BackendServer> servers, long shift, long now) {
        List<Overdue> overdue = new ArrayList<>();
        for (BackendServer server : servers) {
            if (states(server) && probed(server).mayBeProbed(now)) {
                overdue.add(new Overdue(server, overdueNanoseconds(server, shift, now)));
            }
        }
        return overdue.stream()
                .filter(each -> each.nanoseconds() >= 0)
                .sorted(Comparator.comparingLong(Overdue::nanoseconds).reversed())
                .map(Overdue::server);
    }

    /** Returns the time since this entry's turn to probe the server came; negative if it has not come. */
    private long overdueNanoseconds(BackendServer server, long shift, long now) {
        long waited = now - dueAt(server, shift, now);
        return waited < 0 ? waited : waited - turns.delayNanoseconds(server.id());
    }

    /**
     * Returns when the first entry has to probe the server. What was due for long before a service got requests is due
     * when it gets them; otherwise the turns of all entries would come at once.
     */
    private long dueAt(BackendServer server, long shift, long now) {
        long statingSince = probed(server).statingSince(now);
        Optional<Long> statedAt = speeds.find(server.id()).flatMap(KnownSpeed::newestStatementAt);
        if (statedAt.isEmpty()) {
            return statingSince;
        }
        return speeds.activity()
                .activeSince(server.service(), now)
                .map(activeSince -> Math.max(activeSince, statedAt.get() + busyIntervalNanoseconds() + shift))
                .orElse(statedAt.get() + IDLE_INTERVAL_NANOSECONDS + shift);
    }

    /** In large fleets reports are further apart; what is stated in between does not reach the other entries. */
    private long busyIntervalNanoseconds() {
        return Math.max(BUSY_INTERVAL_NANOSECONDS, turns.reportIntervalNanoseconds());
    }

    /** Returns one server of each service that has not been asked whether its servers state anything. */
    private Stream<BackendServer> unaskedServices(Collection<BackendServer> servers, long now) {
        Map<String, List<BackendServer>> unasked = servers.stream()
                .filter(server -> !states(server) && !askedServices.contains(server.service()))
                .collect(Collectors.groupingBy(BackendServer::service));
        return unasked.values().stream()
                .filter(group ->
                        group.stream().noneMatch(server -> probed(server).outstanding()))
                .flatMap(group -> group.stream()
                        .filter(server -> probed(server).mayBeProbed(now))
                        .min(Comparator.comparingLong(server -> turns.preference(server.id())))
                        .stream());
    }

    private boolean states(BackendServer server) {
        return speeds.find(server.id()).filter(KnownSpeed::inUse).isPresent();
    }

    private boolean statedSince(BackendServer server, long since) {
        return speeds.find(server.id())
                .flatMap(KnownSpeed::newestStatementAt)
                .filter(statedAt -> statedAt >= since)
                .isPresent();
    }

    private Optional<ProbedServer> find(BackendServer server) {
        return Optional.ofNullable(probed.get(server.id())).filter(known -> known.describes(server));
    }

    private ProbedServer probed(BackendServer server) {
        return find(server).orElseGet(() -> {
            ProbedServer added = new ProbedServer(server);
            probed.put(server.id(), added);
            return added;
        });
    }

    private record Overdue(BackendServer server, long nanoseconds) {}
}
