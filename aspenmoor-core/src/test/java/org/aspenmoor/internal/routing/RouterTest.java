package org.aspenmoor.internal.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.engine.EngineLoad;
import org.aspenmoor.internal.engine.EngineRole;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class RouterTest {
    private static final String MODEL = "draft@1";
    private static final long SECOND = 1_000_000_000L;

    private SplittableRandom random;
    private Router router;

    @BeforeMethod
    public void createRouter() {
        random = new SplittableRandom(7);
        router = newRouter(1);
    }

    @Test
    public void should_choose_no_engine_when_none_has_the_model() {
        report(router, "a", EngineRole.WHOLE, 1, 0, 0, 0);

        assertTrue(router.choose(request("other@1", 100, 10), engineName -> true, 0)
                .isEmpty());
    }

    @Test
    public void should_choose_no_engine_when_the_filter_accepts_none() {
        report(router, "a", EngineRole.WHOLE, 1, 0, 0, 0);

        assertTrue(
                router.choose(request(MODEL, 100, 10), engineName -> false, 0).isEmpty());
    }

    @Test
    public void should_choose_the_accepted_engine_when_the_filter_accepts_one_of_many() {
        for (int number = 0; number < 200; number++) {
            report(router, "engine-" + number, EngineRole.WHOLE, 1, 0, 0, 0);
        }

        Optional<RoutingDecision> decision =
                router.choose(request(MODEL, 100, 10), engineName -> engineName.equals("engine-137"), 0);

        assertEquals(decision.orElseThrow().engine(), "engine-137");
    }

    // Load reports arrive seconds late. A router that relied on reports alone would send all requests of a burst to
    // the engine that was idle in the last report, and callers would wait while other engines are idle.
    @Test
    public void should_count_its_own_requests_when_no_report_includes_them_yet() {
        report(router, "a", EngineRole.WHOLE, 1, 0, 0, 0);
        report(router, "b", EngineRole.WHOLE, 1, 0, 0, 0);
        Map<String, Integer> sent = new HashMap<>();

        for (int number = 0; number < 20; number++) {
            RoutingRequest request = request(MODEL, 4_000, 10);
            RoutingDecision decision =
                    router.choose(request, engineName -> true, SECOND).orElseThrow();
            router.recordSent(request, decision, SECOND);
            sent.merge(decision.engine(), 1, Integer::sum);
        }

        assertEquals(sent.get("a") + sent.get("b"), 20);
        assertTrue(Math.abs(sent.get("a") - sent.get("b")) <= 4, sent.toString());
    }

    // Many entries have the same outdated report, in which one engine is idle. If each compared all engines, all
    // entries would choose that engine, and its queue would receive the work of the fleet within one report interval.
    @Test
    public void should_spread_requests_when_many_entries_have_the_same_report() {
        Map<String, Integer> sent = new HashMap<>();
        for (int entry = 0; entry < 100; entry++) {
            Router entryRouter = newRouter(entry);
            for (int number = 0; number < 50; number++) {
                report(entryRouter, "engine-" + number, EngineRole.WHOLE, 1, number == 0 ? 0 : 2_000, 4, 0);
            }
            RoutingDecision decision = entryRouter
                    .choose(request(MODEL, 1_000, 50), engineName -> true, 0)
                    .orElseThrow();
            sent.merge(decision.engine(), 1, Integer::sum);
        }

        int maxRequests =
                sent.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
        assertTrue(maxRequests < 25, "one engine received " + maxRequests + " of 100 requests");
    }

    @Test
    public void should_choose_the_engine_with_the_cached_prefix_when_engines_are_idle() {
        for (int number = 0; number < 50; number++) {
            report(router, "engine-" + number, EngineRole.WHOLE, 1, 0, 0, 0);
        }
        router.applyCacheEvent("engine-31", 1, new CacheEvent.Stored(List.of(11L, 12L)));

        RoutingDecision decision = router.choose(
                        request(MODEL, 4_100, 20, PrefixChain.of(4_000, 11, 12)), engineName -> true, 0)
                .orElseThrow();

        assertEquals(decision.engine(), "engine-31");
        assertEquals(decision.cachedTokens(), 4_000);
    }

    @Test
    public void should_choose_an_idle_engine_when_the_engine_with_the_cached_prefix_is_overloaded() {
        report(router, "holder", EngineRole.WHOLE, 1, 80_000, 30, 0);
        report(router, "idle", EngineRole.WHOLE, 1, 0, 0, 0);
        router.applyCacheEvent("holder", 1, new CacheEvent.Stored(List.of(11L)));

        RoutingDecision decision = router.choose(
                        request(MODEL, 2_100, 20, PrefixChain.of(2_000, 11)), engineName -> true, 0)
                .orElseThrow();

        assertEquals(decision.engine(), "idle");
    }

    @Test
    public void should_disaggregate_when_only_prefill_and_decode_engines_are_available() {
        report(router, "p", EngineRole.PREFILL, 1, 0, 0, 0);
        report(router, "d", EngineRole.DECODE, 1, 0, 0, 0);

        RoutingDecision decision =
                router.choose(request(MODEL, 1_000, 20), engineName -> true, 0).orElseThrow();

        assertEquals(decision.engineForPrefill(), "p");
        assertEquals(decision.engine(), "d");
        assertTrue(decision.reason().contains("no alternative is available"), decision.reason());
    }

    @Test
    public void should_choose_a_single_engine_when_disaggregation_is_slower() {
        report(router, "p", EngineRole.PREFILL, 1, 40_000, 0, 0);
        report(router, "d", EngineRole.DECODE, 1, 0, 30, 0);
        report(router, "w", EngineRole.WHOLE, 1, 0, 0, 0);

        RoutingDecision decision =
                router.choose(request(MODEL, 1_000, 20), engineName -> true, 0).orElseThrow();

        assertEquals(decision.engine(), "w");
        assertTrue(decision.prefillEngine().isEmpty());
    }

    @Test
    public void should_not_choose_an_engine_when_it_was_removed() {
        report(router, "a", EngineRole.WHOLE, 1, 0, 0, 0);
        router.removeEngine("a");

        assertTrue(router.choose(request(MODEL, 100, 10), engineName -> true, 0).isEmpty());
    }

    @Test
    public void should_use_the_new_role_when_an_engine_changed_its_role() {
        report(router, "a", EngineRole.WHOLE, 1, 0, 0, 0);
        report(router, "a", EngineRole.DECODE, 2, 0, 0, SECOND);

        assertTrue(router.choose(request(MODEL, 100, 10), engineName -> true, SECOND)
                .isEmpty());
    }

    // The network may deliver two reports of one engine in the wrong order. Applying the older one would restore the
    // size of a queue that is already empty, and requests would avoid an idle engine.
    @Test
    public void should_ignore_a_report_when_a_later_one_was_applied() {
        report(router, "a", EngineRole.WHOLE, 5, 0, 0, 3 * SECOND);
        router.applyReport(
                "a", load(4, 90_000, 0), EngineRole.WHOLE, true, Set.of(MODEL), Duration.ofSeconds(2), 3 * SECOND);

        RoutingDecision decision = router.choose(request(MODEL, 100, 10), engineName -> true, 3 * SECOND)
                .orElseThrow();

        assertEquals(decision.queueSeconds(), 0, 0.01);
    }

    @Test
    public void should_not_count_a_request_as_outstanding_when_it_has_ended() {
        report(router, "a", EngineRole.WHOLE, 1, 0, 0, 0);
        RoutingRequest request = request(MODEL, 100, 10);
        router.recordSent(request, router.choose(request, engineName -> true, 0).orElseThrow(), 0);

        router.recordEnded(request.id(), SECOND);

        assertEquals(router.outstandingRequests(), 0);
    }

    @Test
    public void should_report_a_gap_when_cache_events_were_missed() {
        router.addEngine("a", "one");

        assertFalse(router.applyCacheEvent("a", 1, new CacheEvent.Stored(List.of(1L))));
        assertTrue(router.applyCacheEvent("a", 3, new CacheEvent.Stored(List.of(2L))));
        assertFalse(router.applyCacheEvent("unknown", 3, new CacheEvent.Cleared()));
    }

    private static Router newRouter(int seed) {
        return new Router(RouterSettings.defaults("one"), new SplittableRandom(seed));
    }

    private static void report(
            Router router,
            String engineName,
            EngineRole role,
            long sequence,
            long queuedTokens,
            int runningSequences,
            long now) {
        router.addEngine(engineName, "one");
        router.applyReport(
                engineName,
                load(sequence, queuedTokens, runningSequences),
                role,
                true,
                Set.of(MODEL),
                Duration.ZERO,
                now);
    }

    private static EngineLoad load(long sequence, long queuedTokens, int runningSequences) {
        return new EngineLoad(sequence, queuedTokens, runningSequences, 32, 96, 96);
    }

    private RoutingRequest request(String model, int promptTokens, int outputTokens) {
        return request(model, promptTokens, outputTokens, PrefixChain.none());
    }

    private RoutingRequest request(String model, int promptTokens, int outputTokens, PrefixChain prefix) {
        return new RoutingRequest(
                RequestId.draw(random),
                model,
                Optional.empty(),
                promptTokens,
                prefix,
                outputTokens,
                1,
                60 * SECOND,
                "one");
    }
}
