package org.aspenmoor.internal.serving.origin;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.aspenmoor.internal.serving.SoftwareVersion;

/** A caller's stream in the simulation, over all of its tries. */
final class ResumeCaller {
    private static final long MILLISECOND = Duration.ofMillis(1).toNanos();
    private static final int EVENTS = 14;
    private static final long FIRST_EVENT = 60 * MILLISECOND;
    private static final long EVENT_INTERVAL = 30 * MILLISECOND;
    private static final int MAX_TRIES = 3;
    private static final int MAX_SEND_ATTEMPTS = 4;

    /** Callers that come back after a refusal do so until this long after they began. */
    private static final long PATIENCE = Duration.ofSeconds(20).toNanos();

    /** Part of the runs of engines that break off at some event. */
    private static final double BROKEN_RUNS = 1.0 / 8;

    /** Part of the callers that leave at some event and come back. */
    private static final double LEAVING_CALLERS = 1.0 / 7;

    private final ResumeSimulation simulation;
    private final SplittableRandom random;
    private final int number;
    private final long beganAt;
    private final Set<SoftwareVersion> versions = new HashSet<>();
    private String firstRequest = "";
    private int received;
    private int tries;
    private boolean counted;
    private boolean taken;
    private boolean continued;
    private boolean interrupted;
    private boolean interruptedTaken;
    private boolean interruptedContinued;

    ResumeCaller(ResumeSimulation simulation, SplittableRandom random, int number) {
        this.simulation = simulation;
        this.random = random;
        this.number = number;
        this.beganAt = simulation.time().now();
    }

    void begin() {
        tries++;
        anyEntry().ifPresent(entry -> run(entry, requestId(), null, 0));
    }

    /** Returns whether the stream was taken up at an entry in touch while two engines of its version served. */
    boolean taken() {
        return taken;
    }

    /** Returns whether it went on then, at one of its tries at least. */
    boolean continued() {
        return continued;
    }

    /** Returns whether the stream was taken up after its entry was killed, while two engines of its version served. */
    boolean interruptedTaken() {
        return interruptedTaken;
    }

    /** Returns whether it went on after that, at one of its tries at least. */
    boolean interruptedContinued() {
        return interruptedContinued;
    }

    boolean mixed() {
        return versions.size() > 1;
    }

    boolean begun() {
        return received > 0;
    }

    private String requestId() {
        return number + "/" + tries;
    }

    private Optional<ResumeEntry> anyEntry() {
        List<ResumeEntry> taking =
                simulation.entries().stream().filter(ResumeEntry::takesCallers).toList();
        return taking.isEmpty() ? Optional.empty() : Optional.of(taking.get(random.nextInt(taking.size())));
    }

    private void takeUp() {
        boolean patient =
                simulation.callersReturnWhenRefused() && simulation.time().now() < beganAt + PATIENCE;
        if (received == 0 || (tries >= MAX_TRIES && !patient)) {
            return;
        }
        Optional<ResumeEntry> reached = anyEntry();
        if (reached.isEmpty()) {
            comeBack();
            return;
        }
        ResumeEntry entry = reached.get();
        tries++;
        boolean served = simulation.engineCount(versions.iterator().next()) >= 2;
        counted = served && entry.inTouch();
        taken |= counted;
        interruptedTaken |= served && interrupted;
        String request = requestId();
        long asking = entry.incarnation();
        entry.tracker().resolve(StreamKey.of("", firstRequest), List.of(ResumeEngine.SERVICE), decision -> {
            if (!entry.alive() || entry.incarnation() != asking) {
                return;
            }
            switch (decision) {
                case ResumeDecision.Continue resume ->
                    run(entry, request, resume.origin().version(), 0);
                case ResumeDecision.Refuse refuse -> refused();
            }
        });
    }

    private void refused() {
        if (simulation.callersReturnWhenRefused()) {
            comeBackAfter(200 * MILLISECOND + random.nextLong(400 * MILLISECOND));
        }
    }

    /** Sends the request to an engine; tries others if one is gone. */
    private void run(ResumeEntry entry, String request, SoftwareVersion required, int attempts) {
        List<ResumeEngine> candidates = candidates(entry, required);
        if (candidates.isEmpty() || attempts >= MAX_SEND_ATTEMPTS) {
            return;
        }
        ResumeEngine engine = candidates.get(random.nextInt(candidates.size()));
        if (!engine.alive()) {
            run(entry, request, required, attempts + 1);
            return;
        }
        int breaksAt = random.nextDouble() < BROKEN_RUNS ? 1 + random.nextInt(EVENTS) : Integer.MAX_VALUE;
        int leavesAt = random.nextDouble() < LEAVING_CALLERS ? 1 + random.nextInt(EVENTS) : Integer.MAX_VALUE;
        long serving = entry.incarnation();
        after(FIRST_EVENT, () -> event(entry, serving, engine, request, new Limits(breaksAt, leavesAt), attempts));
    }

    private static List<ResumeEngine> candidates(ResumeEntry entry, SoftwareVersion required) {
        if (required != null) {
            return entry.known().stream()
                    .filter(engine -> engine.version().equals(required))
                    .toList();
        }
        Set<SoftwareVersion> stated = entry.tracker().statedVersions(ResumeEngine.SERVICE);
        List<ResumeEngine> ofStated = entry.known().stream()
                .filter(engine -> stated.contains(engine.version()))
                .toList();
        return ofStated.isEmpty() ? entry.known() : ofStated;
    }

    private void event(
            ResumeEntry entry, long serving, ResumeEngine engine, String request, Limits limits, int attempts) {
        if (!entry.alive() || entry.incarnation() != serving) {
            interrupted |= received > 0;
            comeBack();
            return;
        }
        if (entry.suspended()) {
            after(EVENT_INTERVAL, () -> event(entry, serving, engine, request, limits, attempts));
            return;
        }
        if (!engine.alive() || received + 1 >= limits.breaksAt()) {
            continueElsewhere(entry, request, engine, attempts);
            return;
        }
        eventReceived(entry, engine, request);
        if (received >= EVENTS) {
            return;
        }
        if (received >= limits.leavesAt()) {
            comeBack();
            return;
        }
        after(EVENT_INTERVAL, () -> event(entry, serving, engine, request, limits, attempts));
    }

    private void continueElsewhere(ResumeEntry entry, String request, ResumeEngine engine, int attempts) {
        if (attempts + 1 >= MAX_SEND_ATTEMPTS) {
            comeBack();
            return;
        }
        boolean begunAlready = received > 0;
        boolean possible = entry.known().stream()
                .anyMatch(other -> !begunAlready || other.version().equals(engine.version()));
        if (possible) {
            run(entry, request, begunAlready ? engine.version() : null, attempts + 1);
        } else {
            comeBack();
        }
    }

    private void eventReceived(ResumeEntry entry, ResumeEngine engine, String request) {
        boolean first = firstRequest.isEmpty();
        if (first) {
            firstRequest = request;
        }
        if (first || counted) {
            continued |= counted;
            counted = false;
            List<StreamKey> keys = first
                    ? List.of(StreamKey.of("", request))
                    : List.of(StreamKey.of("", request), StreamKey.of("", firstRequest));
            entry.tracker()
                    .streamBegan(
                            keys,
                            new StreamOrigin(ResumeEngine.SERVICE, engine.version()),
                            List.of(ResumeEngine.SERVICE));
        }
        interruptedContinued |= interruptedTaken;
        received++;
        versions.add(engine.version());
    }

    private void comeBack() {
        comeBackAfter(20 * MILLISECOND + random.nextLong(200 * MILLISECOND));
    }

    private void comeBackAfter(long pause) {
        after(pause, this::takeUp);
    }

    private void after(long delay, Runnable action) {
        simulation.after(delay, action);
    }

    private record Limits(int breaksAt, int leavesAt) {}
}
