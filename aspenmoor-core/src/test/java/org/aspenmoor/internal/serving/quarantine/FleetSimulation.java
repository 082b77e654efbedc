package org.aspenmoor.internal.serving.quarantine;

import java.time.Duration;
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
final class FleetSimulation {
    private static final int ENTRIES = 8;
    private static final int SERVERS = 4;
    private static final int STEP_MILLIS = 10;
    private static final int LENGTH_MILLIS = 40_000;
    private static final int REPORT_INTERVAL_MILLIS = 100;
    private static final int SERVER_RESTART_MILLIS = 3000;
    private static final int MAX_ANSWER_MILLIS = 600;
    private static final int FATAL_RUN_MILLIS = 60;
    private static final int FATAL_REQUESTS = 3;
    /** 1.2 arrivals per second. */
    private static final double FATAL_ARRIVALS_PER_STEP = 0.012;

    private static final int FATAL_FROM_MILLIS = 5000;
    private static final int MAX_ATTEMPTS = 3;
    private static final int MAX_RETRY_DELAY_MILLIS = 500;
    private static final int REPEATED_REQUESTS = 10;
    private static final long REPEATED_REQUEST_MARK = 1;
    private static final double REPEATED_REQUEST_FRACTION = 0.2;

    private final FleetFaults faults;
    private final boolean quarantineEnabled;
    private final Random random;
    private final List<Entry> entries = new ArrayList<>();
    private final List<Server> servers = new ArrayList<>();
    private final Map<SuspectDigest, FatalRequestRuns> fatalRuns = new HashMap<>();
    private final Map<SuspectDigest, List<ServerTermination>> storedTerminations = new HashMap<>();
    private final List<Retry> pendingRetries = new ArrayList<>();
    private long nowMillis;
    private long nextId;
    private int answeredCount;
    private int sentCount;
    private int repeatedRefused;
    private int othersRefused;

    /**
     * Creates a simulation.
     *
     * @param quarantineEnabled whether entries apply their quarantine at all
     */
    FleetSimulation(FleetFaults faults, long seed, boolean quarantineEnabled) {
        this.faults = faults;
        this.quarantineEnabled = quarantineEnabled;
        this.random = new Random(seed);
        for (int number = 0; number < ENTRIES; number++) {
            entries.add(new Entry());
        }
        for (int number = 0; number < SERVERS; number++) {
            servers.add(new Server("server-" + number));
        }
        for (int number = 0; number < FATAL_REQUESTS; number++) {
            fatalRuns.put(new SuspectDigest(number, -1), new FatalRequestRuns());
        }
    }

    void run() {
        for (nowMillis = 0; nowMillis < LENGTH_MILLIS; nowMillis += STEP_MILLIS) {
            servers.forEach(this::completeDueRuns);
            injectFaults();
            generateArrivals();
            sendDueRetries();
            if (nowMillis % REPORT_INTERVAL_MILLIS == 0) {
                report();
            }
        }
    }

    Iterable<FatalRequestRuns> fatalRuns() {
        return fatalRuns.values();
    }

    int terminations() {
        return fatalRuns.values().stream()
                .mapToInt(FatalRequestRuns::terminations)
                .sum();
    }

    /** Returns how many repeated requests, which are mostly answered, were refused. */
    int repeatedRefused() {
        return repeatedRefused;
    }

    /** Returns the fraction of ordinary requests that were refused although they terminate no server. */
    double refusedFraction() {
        return (double) (repeatedRefused + othersRefused) / sentCount;
    }

    /** Returns the fraction of ordinary requests that were answered. */
    double answeredFraction() {
        return (double) answeredCount / sentCount;
    }

    private void generateArrivals() {
        arrive(nextOrdinaryRequest(), 1);
        for (SuspectDigest request : fatalRuns.keySet()) {
            if (nowMillis >= FATAL_FROM_MILLIS && random.nextDouble() < FATAL_ARRIVALS_PER_STEP) {
                arrive(request, 1);
            }
        }
    }

    private SuspectDigest nextOrdinaryRequest() {
        sentCount++;
        return random.nextDouble() < REPEATED_REQUEST_FRACTION
                ? new SuspectDigest(random.nextInt(REPEATED_REQUESTS), REPEATED_REQUEST_MARK)
                : new SuspectDigest(nextId++, 0);
    }

    private void arrive(SuspectDigest request, int attempt) {
        Entry entry = entries.get(random.nextInt(ENTRIES));
        boolean withheld = entry.quarantine.decide(request, nowNanos()) instanceof QuarantineDecision.Quarantined;
        if (quarantineEnabled && withheld) {
            countRefusal(request);
            return;
        }
        List<Server> running = servers.stream()
                .filter(server -> nowMillis >= server.runningFromMillis)
                .toList();
        if (running.isEmpty()) {
            return;
        }
        Server server = running.get(random.nextInt(running.size()));
        long durationMillis = fatalRuns.containsKey(request) ? FATAL_RUN_MILLIS : 1 + random.nextInt(MAX_ANSWER_MILLIS);
        server.runs.add(new Run(request, entry, attempt, nowMillis + durationMillis));
    }

    private void countRefusal(SuspectDigest request) {
        if (isRepeated(request)) {
            repeatedRefused++;
        } else if (!fatalRuns.containsKey(request)) {
            othersRefused++;
        }
    }

    private static boolean isRepeated(SuspectDigest request) {
        return request.low() == REPEATED_REQUEST_MARK;
    }

    private void completeDueRuns(Server server) {
        List<Run> due = server.runs.stream()
                .filter(run -> run.endsAtMillis <= nowMillis)
                .toList();
        for (Run run : due) {
            if (fatalRuns.containsKey(run.request)) {
                fatalRuns.get(run.request).serverTerminated(nowMillis);
                terminate(server);
                return;
            }
            server.runs.remove(run);
            answeredCount++;
            run.entry.requestAnswered(run.request);
        }
    }

    /** Every request on the server is lost with it, and each of them may have caused the termination. */
    private void terminate(Server server) {
        ServerIncarnation incarnation = new ServerIncarnation(server.name, server.startedAtMillis);
        server.runs.forEach(run -> run.entry.serverTerminated(run.request, incarnation));
        server.runs.forEach(this::scheduleRetry);
        server.runs.clear();
        server.runningFromMillis = nowMillis + SERVER_RESTART_MILLIS;
        server.startedAtMillis = server.runningFromMillis;
    }

    /** Callers retry ordinary requests a limited number of times, at any entry; fatal requests arrive independently. */
    private void scheduleRetry(Run lost) {
        if (!fatalRuns.containsKey(lost.request) && lost.attempt < MAX_ATTEMPTS) {
            pendingRetries.add(
                    new Retry(lost.request, lost.attempt + 1, nowMillis + 1 + random.nextInt(MAX_RETRY_DELAY_MILLIS)));
        }
    }

    private void sendDueRetries() {
        List<Retry> due = pendingRetries.stream()
                .filter(retry -> retry.dueAtMillis <= nowMillis)
                .toList();
        pendingRetries.removeAll(due);
        due.forEach(retry -> arrive(retry.request, retry.attempt));
    }

    private void injectFaults() {
        if (due(faults.restartOneMilliseconds())) {
            entries.set(random.nextInt(ENTRIES), new Entry());
        }
        if (due(faults.restartAllMilliseconds())) {
            entries.replaceAll(entry -> new Entry());
        }
        if (due(faults.terminateServerMilliseconds())) {
            terminate(servers.get(random.nextInt(SERVERS)));
        }
    }

    private boolean due(int intervalMillis) {
        return intervalMillis > 0 && nowMillis > 0 && nowMillis % intervalMillis == 0;
    }

    private void report() {
        for (Entry sender : entries) {
            List<ServerTermination> reported = sender.quarantine.takeNextReport(nowNanos());
            for (Entry receiver : entries) {
                if (receiver != sender && random.nextDouble() >= faults.lostFraction()) {
                    reported.forEach(termination -> receiver.quarantine.terminationReported(termination, nowNanos()));
                }
            }
        }
    }

    private long nowNanos() {
        return TimeUnit.MILLISECONDS.toNanos(nowMillis);
    }

    private final class Entry {
        private final Quarantine quarantine = new Quarantine(suspect -> Duration.ZERO, 0);

        Entry() {
            storedTerminations
                    .values()
                    .forEach(terminations -> terminations.forEach(
                            termination -> quarantine.terminationReported(termination, nowNanos())));
        }

        void serverTerminated(SuspectDigest request, ServerIncarnation incarnation) {
            quarantine.serverTerminated(request, incarnation, nowNanos());
            if (quarantine.suspectsWithMultipleTerminations().contains(request)) {
                storedTerminations.put(request, quarantine.terminations(request, nowNanos()));
            }
        }

        void requestAnswered(SuspectDigest request) {
            if (quarantine.requestAnswered(request, nowNanos())) {
                storedTerminations.computeIfPresent(
                        request, (digest, terminations) -> quarantine.terminations(request, nowNanos()));
            }
        }
    }

    private static final class Server {
        private final String name;
        private final List<Run> runs = new ArrayList<>();
        private long runningFromMillis;
        private long startedAtMillis;

        Server(String name) {
            this.name = name;
        }
    }

    private record Run(SuspectDigest request, Entry entry, int attempt, long endsAtMillis) {}

    private record Retry(SuspectDigest request, int attempt, long dueAtMillis) {}
}
