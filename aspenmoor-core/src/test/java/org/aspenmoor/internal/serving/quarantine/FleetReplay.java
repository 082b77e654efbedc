package org.aspenmoor.internal.serving.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Simulates a fleet in steps of ten milliseconds: entries with one quarantine each, servers that restart some
 * seconds after they terminate, ordinary requests of which some are repeated, and fatal requests that terminate
 * every server that processes them.
 */
final class FleetReplay {
    private static final int ENTRIES = 8;
    private static final int SERVERS = 4;
    private static final int STEP = 10;
    private static final int LENGTH = 40_000;
    private static final int REPORT_PAUSE = 100;
    private static final int SERVER_RETURNS_AFTER = 3000;
    private static final int ANSWER_TAKES = 600;
    private static final int FATAL_TAKES = 60;
    private static final int FATAL_REQUESTS = 3;
    /** 1.2 arrivals per second. */
    private static final double FATAL_ARRIVALS_PER_STEP = 0.012;

    private static final int FATAL_FROM = 5000;
    private static final int MOST_TRIES = 3;
    private static final int RETURNS_WITHIN = 500;
    private static final int POLLS = 10;
    private static final long POLL = 1;
    private static final double POLL_SHARE = 0.2;

    private final FleetTroubles troubles;
    private final boolean remembering;
    private final Random random;
    private final List<Entry> entries = new ArrayList<>();
    private final List<Server> servers = new ArrayList<>();
    private final Map<RequestDigest, FatalRun> fatal = new HashMap<>();
    private final Map<RequestDigest, List<ServerEnd>> stored = new HashMap<>();
    private final List<Return> returning = new ArrayList<>();
    private long now;
    private long nextId;
    private int served;
    private int sent;
    private int pollsRefused;
    private int othersRefused;

    /**
     * Creates a simulation.
     *
     * @param remembering whether entries apply their quarantine at all
     */
    FleetReplay(FleetTroubles troubles, long seed, boolean remembering) {
        this.troubles = troubles;
        this.remembering = remembering;
        this.random = new Random(seed);
        for (int number = 0; number < ENTRIES; number++) {
            entries.add(new Entry());
        }
        for (int number = 0; number < SERVERS; number++) {
            servers.add(new Server("server-" + number));
        }
        for (int number = 0; number < FATAL_REQUESTS; number++) {
            fatal.put(new RequestDigest(number, -1), new FatalRun());
        }
    }

    void run() {
        for (now = 0; now < LENGTH; now += STEP) {
            servers.forEach(this::finish);
            trouble();
            arrivals();
            returns();
            if (now % REPORT_PAUSE == 0) {
                report();
            }
        }
    }

    Iterable<FatalRun> fatalRuns() {
        return fatal.values();
    }

    int ends() {
        return fatal.values().stream().mapToInt(FatalRun::ends).sum();
    }

    /** Returns how many repeated requests, which are mostly answered, were refused. */
    int pollsRefused() {
        return pollsRefused;
    }

    /** Returns the fraction of ordinary requests that were refused although they terminate no server. */
    double refusedShare() {
        return (double) (pollsRefused + othersRefused) / sent;
    }

    /** Returns the fraction of ordinary requests that were answered. */
    double servedShare() {
        return (double) served / sent;
    }

    private void arrivals() {
        arrive(ordinary(), 1);
        for (RequestDigest request : fatal.keySet()) {
            if (now >= FATAL_FROM && random.nextDouble() < FATAL_ARRIVALS_PER_STEP) {
                arrive(request, 1);
            }
        }
    }

    private RequestDigest ordinary() {
        sent++;
        return random.nextDouble() < POLL_SHARE
                ? new RequestDigest(random.nextInt(POLLS), POLL)
                : new RequestDigest(nextId++, 0);
    }

    private void arrive(RequestDigest request, int tries) {
        Entry entry = entries.get(random.nextInt(ENTRIES));
        boolean kept = entry.quarantine.verdict(request, nanoseconds()) instanceof Verdict.Quarantined;
        if (remembering && kept) {
            refused(request);
            return;
        }
        List<Server> up =
                servers.stream().filter(server -> now >= server.upFrom).toList();
        if (up.isEmpty()) {
            return;
        }
        Server server = up.get(random.nextInt(up.size()));
        long takes = fatal.containsKey(request) ? FATAL_TAKES : 1 + random.nextInt(ANSWER_TAKES);
        server.runs.add(new Run(request, entry, tries, now + takes));
    }

    private void refused(RequestDigest request) {
        if (isPoll(request)) {
            pollsRefused++;
        } else if (!fatal.containsKey(request)) {
            othersRefused++;
        }
    }

    private static boolean isPoll(RequestDigest request) {
        return request.low() == POLL;
    }

    private void finish(Server server) {
        List<Run> due = server.runs.stream().filter(run -> run.endsAt <= now).toList();
        for (Run run : due) {
            if (fatal.containsKey(run.request)) {
                fatal.get(run.request).ended(now);
                end(server);
                return;
            }
            server.runs.remove(run);
            served++;
            run.entry.answered(run.request);
        }
    }

    /** Every request on the server is lost with it, and each of them may have caused the termination. */
    private void end(Server server) {
        ServerStart start = new ServerStart(server.name, server.startedAt);
        server.runs.forEach(run -> run.entry.ended(run.request, start));
        server.runs.forEach(this::comeBack);
        server.runs.clear();
        server.upFrom = now + SERVER_RETURNS_AFTER;
        server.startedAt = server.upFrom;
    }

    /** Callers retry ordinary requests a limited number of times, at any entry; fatal requests arrive independently. */
    private void comeBack(Run lost) {
        if (!fatal.containsKey(lost.request) && lost.tries < MOST_TRIES) {
            returning.add(new Return(lost.request, lost.tries + 1, now + 1 + random.nextInt(RETURNS_WITHIN)));
        }
    }

    private void returns() {
        List<Return> due = returning.stream().filter(each -> each.at <= now).toList();
        returning.removeAll(due);
        due.forEach(each -> arrive(each.request, each.tries));
    }

    private void trouble() {
        if (due(troubles.restartOneMilliseconds())) {
            entries.set(random.nextInt(ENTRIES), new Entry());
        }
        if (due(troubles.restartAllMilliseconds())) {
            entries.replaceAll(entry -> new Entry());
        }
        if (due(troubles.endServerMilliseconds())) {
            end(servers.get(random.nextInt(SERVERS)));
        }
    }

    private boolean due(int pause) {
        return pause > 0 && now > 0 && now % pause == 0;
    }

    private void report() {
        for (Entry from : entries) {
            List<ServerEnd> told = from.quarantine.takeNews(nanoseconds());
            for (Entry to : entries) {
                if (to != from && random.nextDouble() >= troubles.lostShare()) {
                    told.forEach(end -> to.quarantine.heard(end, nanoseconds()));
                }
            }
        }
    }

    private long nanoseconds() {
        return TimeUnit.MILLISECONDS.toNanos(now);
    }

    private final class Entry {
        private final Quarantine quarantine = new Quarantine();

        Entry() {
            stored.values().forEach(ends -> ends.forEach(end -> quarantine.heard(end, nanoseconds())));
        }

        void ended(RequestDigest request, ServerStart start) {
            quarantine.serverEnded(request, start, nanoseconds());
            if (quarantine.repeated().contains(request)) {
                stored.put(request, quarantine.ends(request, nanoseconds()));
            }
        }

        void answered(RequestDigest request) {
            if (quarantine.answered(request, nanoseconds())) {
                stored.computeIfPresent(request, (known, ends) -> quarantine.ends(request, nanoseconds()));
            }
        }
    }

    private static final class Server {
        private final String name;
        private final List<Run> runs = new ArrayList<>();
        private long upFrom;
        private long startedAt;

        Server(String name) {
            this.name = name;
        }
    }

    private record Run(RequestDigest request, Entry entry, int tries, long endsAt) {}

    private record Return(RequestDigest request, int tries, long at) {}
}
