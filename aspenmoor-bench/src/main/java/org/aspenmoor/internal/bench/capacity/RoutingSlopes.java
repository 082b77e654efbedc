package org.aspenmoor.internal.bench.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.admission.AdmissionQueue;
import org.aspenmoor.internal.admission.AdmissionSettings;
import org.aspenmoor.internal.admission.WaitingRequest;
import org.aspenmoor.internal.engine.EngineLoad;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.routing.CacheEvent;
import org.aspenmoor.internal.routing.PrefixChain;
import org.aspenmoor.internal.routing.Router;
import org.aspenmoor.internal.routing.RouterSettings;
import org.aspenmoor.internal.routing.RoutingDecision;
import org.aspenmoor.internal.routing.RoutingRequest;
import org.aspenmoor.internal.stream.AnswerAssembler;

/** Memory and processor time of routing and admission. */
final class RoutingSlopes {
    private static final List<Integer> ENGINES = List.of(100, 200, 400, 800);
    private static final List<Integer> PIECES = List.of(8192, 16_384, 32_768, 65_536);
    private static final List<Integer> STREAMS = List.of(500, 1000, 2000, 4000);
    private static final List<Integer> DECISIONS = List.of(5000, 10_000, 20_000, 40_000);
    private static final List<Integer> TEAMS = List.of(50, 100, 200, 400);
    private static final int ADMISSIONS = 1000;
    private static final String DATA_CENTRE = "almaty-1";
    private static final String MODEL = "model-7@3.1";
    private static final int PROMPT_TOKENS = 2000;
    private static final long NANOSECONDS = 1_000_000_000L;
    private static final long SEED = 5;

    private final SlopeMeter meter;
    private long consumed;

    RoutingSlopes(SlopeMeter meter) {
        this.meter = meter;
    }

    void measure() {
        meter.memory(SlopeName.HEAP_PER_ENGINE_VIEW, ENGINES, RoutingSlopes::router);
        meter.memory(SlopeName.HEAP_PER_INDEXED_PIECE, PIECES, RoutingSlopes::indexed);
        meter.memory(SlopeName.HEAP_PER_STREAM, STREAMS, RoutingSlopes::streams);
        meter.memory(SlopeName.HEAP_PER_TEAM_QUEUED, TEAMS, RoutingSlopes::queue);
        meter.processor(SlopeName.ROUTE, DECISIONS, this::route);
        meter.processor(SlopeName.TAKE_LOAD_REPORT, DECISIONS, this::takeReports);
        meter.processor(SlopeName.ADMIT_PER_TEAM, TEAMS, this::admit);
    }

    /** Returns a number that depends on all work done, so that none of it can be left out. */
    long consumed() {
        return consumed;
    }

    private static Router router(int engines) {
        Router router = new Router(RouterSettings.defaults(DATA_CENTRE), new Random(SEED));
        for (int number = 0; number < engines; number++) {
            router.addEngine("engine-" + number, DATA_CENTRE);
            report(router, "engine-" + number, 1, 0);
        }
        return router;
    }

    private static void report(Router router, String backend, long sequence, long now) {
        EngineLoad load = new EngineLoad(sequence, sequence % PROMPT_TOKENS, 20, 64, 700, 2000);
        router.applyReport(backend, load, EngineRole.WHOLE, true, Set.of(MODEL), Duration.ofMillis(50), now);
    }

    private static Object indexed(int pieces) {
        Router router = router(Aim.AGENTS_PER_GROUP);
        for (int piece = 0; piece < pieces; piece++) {
            String backend = "engine-" + piece % Aim.AGENTS_PER_GROUP;
            router.applyCacheEvent(backend, piece, new CacheEvent.Stored(List.of((long) piece)));
        }
        return router;
    }

    private static Object streams(int streams) {
        Router router = router(Aim.AGENTS_PER_GROUP);
        List<Object> held = new ArrayList<>(List.of(router));
        Random random = new Random(SEED);
        for (int stream = 0; stream < streams; stream++) {
            RoutingRequest request = request(random);
            router.recordSent(request, decision(router, request, 0), 0);
            AnswerAssembler assembly = new AnswerAssembler();
            assembly.beginAttempt();
            held.add(assembly);
        }
        return held;
    }

    private static RoutingRequest request(Random random) {
        return new RoutingRequest(
                RequestId.draw(random),
                MODEL,
                Optional.empty(),
                PROMPT_TOKENS,
                PrefixChain.of(PROMPT_TOKENS / 2, random.nextInt(PROMPT_TOKENS)),
                300,
                1.0,
                8 * NANOSECONDS,
                DATA_CENTRE);
    }

    private static RoutingDecision decision(Router router, RoutingRequest request, long now) {
        return router.choose(request, backend -> true, now).orElseThrow();
    }

    private Runnable route(int decisions) {
        Router router = router(Aim.AGENTS_PER_GROUP);
        Random random = new Random(SEED);
        List<RoutingRequest> requests = new ArrayList<>();
        for (int number = 0; number < decisions; number++) {
            requests.add(request(random));
        }
        return () -> {
            long now = 0;
            for (RoutingRequest request : requests) {
                now += NANOSECONDS / 12;
                RoutingDecision decision = decision(router, request, now);
                router.recordSent(request, decision, now);
                router.recordEnded(request.id(), now);
                consumed += decision.cachedTokens();
            }
        };
    }

    private Runnable takeReports(int reports) {
        Router router = router(Aim.AGENTS_PER_GROUP);
        return () -> {
            for (int number = 0; number < reports; number++) {
                report(router, "engine-" + number % Aim.AGENTS_PER_GROUP, number, number * NANOSECONDS);
            }
        };
    }

    private static AdmissionQueue queue(int teams) {
        AdmissionQueue queue = new AdmissionQueue(AdmissionSettings.defaults(Aim.ENGINES));
        Random random = new Random(SEED);
        for (int team = 0; team < teams; team++) {
            queue.offer(work(random, team), 0);
        }
        return queue;
    }

    private Runnable admit(int teams) {
        AdmissionQueue queue = queue(teams);
        Random random = new Random(SEED);
        return () -> {
            for (int number = 0; number < ADMISSIONS; number++) {
                queue.offer(work(random, number % teams), 0);
                consumed += queue.evict(0).size();
                queue.next().ifPresent(work -> queue.markDispatched(work, 0));
            }
        };
    }

    private static WaitingRequest work(Random random, int team) {
        return new WaitingRequest(
                RequestId.draw(random), "team-" + team, "kind-1", 1.0, 3600 * NANOSECONDS, 0.001, 0.001);
    }
}
