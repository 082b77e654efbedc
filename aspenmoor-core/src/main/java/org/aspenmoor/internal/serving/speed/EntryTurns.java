package org.aspenmoor.internal.serving.speed;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.aspenmoor.internal.dissemination.StableHash;
import org.aspenmoor.internal.serving.ReportInterval;

/**
 * The order in which the entries probe a server, by rendezvous hash of their names: the first one probes it, and the
 * others do so only while they hear nothing from it. Confined to one thread; times are nanoseconds of the monotonic clock.
 *
 * <p>Handles 300 entries and some tens of servers several times a second.
 */
public final class EntryTurns {
    private static final int HEARD_INTERVALS = 2;

    /** After that many report intervals an entry that has started has heard the others, each once at least. */
    private static final double STARTING_INTERVALS = 1.5;

    /** The active entries are already known without a report for this long. */
    private static final long ACTIVE_NANOSECONDS = Duration.ofMillis(1500).toNanos();

    /** Time after which an entry that does not hear the others takes the next turn. */
    private static final long UNHEARD_STEP_NANOSECONDS = Duration.ofMillis(600).toNanos();

    /** Time for a probe and its answer, and between two checks of what is due. */
    private static final long PROBE_NANOSECONDS = Duration.ofMillis(100).toNanos();

    private final String own;
    private final long ownHash;
    private final Map<String, Present> others = new HashMap<>();
    private final Map<String, Long> precedingByServer = new HashMap<>();
    private int assumedEntries = 1;
    private Optional<Long> startedAt = Optional.empty();
    private boolean starting = true;

    /**
     * Creates an instance that knows no other entry.
     *
     * @param own the name of this entry
     */
    public EntryTurns(String own) {
        this.own = own;
        this.ownHash = StableHash.of(own);
    }

    /**
     * Applies which entries are active; to be called several times a second.
     *
     * @param active the names of the other entries whose reports are received
     * @param entries how many entries there probably are, this one included; counts while no other one is heard
     */
    public void activeEntries(Collection<String> active, int entries, long now) {
        boolean changed = false;
        if (others.isEmpty()) {
            assumedEntries = Math.max(1, entries);
        }
        for (String name : active) {
            changed |= !others.containsKey(name);
            others.computeIfAbsent(name, added -> new Present(StableHash.of(added))).seenAt = now;
        }
        long retention = ReportInterval.retention(others.size()).toNanos() - ACTIVE_NANOSECONDS;
        changed |= others.values().removeIf(entry -> now - entry.seenAt > retention);
        startedAt = startedAt.or(() -> Optional.of(now));
        if (starting && now - startedAt.get() > STARTING_INTERVALS * reportIntervalNanoseconds()) {
            starting = false;
            changed = true;
        }
        if (changed) {
            precedingByServer.clear();
        }
    }

    /** Returns how much longer than the first entry this one waits for a statement before it probes the server. */
    long delayNanoseconds(String server) {
        boolean unheard = others.isEmpty();
        long step = unheard ? UNHEARD_STEP_NANOSECONDS : stepNanoseconds();
        long preceding = unheard
                ? assumedPrecedingEntries(server)
                : precedingByServer.computeIfAbsent(server, this::precedingEntries);
        // The later turns follow each other more closely, so that many entries that cannot reach a server do not delay
        // its next statement for long.
        return (long) (step * Math.log(1.0 + preceding) / Math.log(2));
    }

    /** Returns a number that orders servers differently at each entry. */
    long preference(String server) {
        return StableHash.combine(ownHash, StableHash.of(server));
    }

    /** An entry that hears no other one assumes that there are others, which do not hear it either. */
    private long assumedPrecedingEntries(String server) {
        return Math.floorMod(preference(server), assumedEntries);
    }

    /** Returns how many entries probe the server before this one does. */
    private long precedingEntries(String server) {
        long serverHash = StableHash.of(server);
        long ownScore = StableHash.combine(serverHash, ownHash);
        long preceding = others.entrySet().stream()
                .filter(other ->
                        precedes(other.getKey(), StableHash.combine(serverHash, other.getValue().hash), ownScore))
                .count();
        return starting ? Math.max(preceding, assumedPrecedingEntries(server)) : preceding;
    }

    private boolean precedes(String name, long score, long ownScore) {
        return score == ownScore ? name.compareTo(own) < 0 : score > ownScore;
    }

    /** An entry hears of a probe with the next report, and later if one is lost; until then it must not probe too. */
    private long stepNanoseconds() {
        return HEARD_INTERVALS * reportIntervalNanoseconds() + PROBE_NANOSECONDS;
    }

    /** Returns the time between two reports of this entry. */
    long reportIntervalNanoseconds() {
        return ReportInterval.of(others.size()).toNanos();
    }

    private static final class Present {
        private final long hash;
        private long seenAt;

        Present(long hash) {
            this.hash = hash;
        }
    }
}
