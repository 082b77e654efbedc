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
    public void start() {
        random = new SplittableRandom(7);
        router = router(1);
    }

    @Test
    public void should_choose_nothing_where_no_engine_has_the_model() {
        report(router, "a", EngineRole.WHOLE, 1, 0, 0, 0);

        assertTrue(
                router.choose(request("other@1", 100, 10), backend -> true, 0).isEmpty());
    }

    @Test
    public void should_choose_nothing_where_no_engine_is_accepted() {
        report(router, "a", EngineRole.WHOLE, 1, 0, 0, 0);

        assertTrue(router.choose(request(MODEL, 100, 10), backend -> false, 0).isEmpty());
    }

    @Test
    public void should_find_the_one_engine_that_is_accepted_among_many() {
        for (int number = 0; number < 200; number++) {
            report(router, "engine-" + number, EngineRole.WHOLE, 1, 0, 0, 0);
        }

        Optional<RoutingDecision> decision =
                router.choose(request(MODEL, 100, 10), backend -> backend.equals("engine-137"), 0);

        assertEquals(decision.orElseThrow().backend(), "engine-137");
    }

    // Load reports arrive seconds late. A router that only believed them would send every request of a burst to the
    // engine that looked idle in the last report, and its users would wait while other engines stand idle.
    @Test
    public void should_count_its_own_sends_until_a_report_shows_them() {
        report(router, "a", EngineRole.WHOLE, 1, 0, 0, 0);
        report(router, "b", EngineRole.WHOLE, 1, 0, 0, 0);
        Map<String, Integer> sent = new HashMap<>();

        for (int number = 0; number < 20; number++) {
            RoutingRequest request = request(MODEL, 4_000, 10);
            RoutingDecision decision =
                    router.choose(request, backend -> true, SECOND).orElseThrow();
            router.sent(request, decision, SECOND);
            sent.merge(decision.backend(), 1, Integer::sum);
        }

        assertEquals(sent.get("a") + sent.get("b"), 20);
        assertTrue(Math.abs(sent.get("a") - sent.get("b")) <= 4, sent.toString());
    }

    // Many entries hold the same old report in which one engine looks idle. If each chose the best engine of all, they
    // would all choose that one, and its queue would grow by the work of the whole fleet within one report interval.
    @Test
    public void should_not_herd_with_other_entries_that_have_the_same_report() {
        Map<String, Integer> sent = new HashMap<>();
        for (int entry = 0; entry < 100; entry++) {
            Router own = router(entry);
            for (int number = 0; number < 50; number++) {
                report(own, "engine-" + number, EngineRole.WHOLE, 1, number == 0 ? 0 : 2_000, 4, 0);
            }
            RoutingDecision decision =
                    own.choose(request(MODEL, 1_000, 50), backend -> true, 0).orElseThrow();
            sent.merge(decision.backend(), 1, Integer::sum);
        }

        int most = sent.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
        assertTrue(most < 25, "one engine was given " + most + " of 100 requests");
    }

    @Test
    public void should_go_where_the_prefix_is_cached() {
        for (int number = 0; number < 50; number++) {
            report(router, "engine-" + number, EngineRole.WHOLE, 1, 0, 0, 0);
        }
        router.cacheEvent("engine-31", 1, new CacheEvent.Stored(List.of(11L, 12L)));

        RoutingDecision decision = router.choose(
                        request(MODEL, 4_100, 20, PrefixChain.of(4_000, 11, 12)), backend -> true, 0)
                .orElseThrow();

        assertEquals(decision.backend(), "engine-31");
        assertEquals(decision.cachedTokens(), 4_000);
    }

    @Test
    public void should_leave_the_cached_prefix_where_its_engine_is_overloaded() {
        report(router, "holder", EngineRole.WHOLE, 1, 80_000, 30, 0);
        report(router, "idle", EngineRole.WHOLE, 1, 0, 0, 0);
        router.cacheEvent("holder", 1, new CacheEvent.Stored(List.of(11L)));

        RoutingDecision decision = router.choose(
                        request(MODEL, 2_100, 20, PrefixChain.of(2_000, 11)), backend -> true, 0)
                .orElseThrow();

        assertEquals(decision.backend(), "idle");
    }

    @Test
    public void should_serve_in_two_stages_where_only_such_engines_are_open() {
        report(router, "p", EngineRole.PREFILL, 1, 0, 0, 0);
        report(router, "d", EngineRole.DECODE, 1, 0, 0, 0);

        RoutingDecision decision =
                router.choose(request(MODEL, 1_000, 20), backend -> true, 0).orElseThrow();

        assertEquals(decision.promptBackend(), "p");
        assertEquals(decision.backend(), "d");
        assertTrue(decision.reason().contains("the other way is not open"), decision.reason());
    }

    @Test
    public void should_serve_on_one_engine_where_the_pair_is_slower() {
        report(router, "p", EngineRole.PREFILL, 1, 40_000, 0, 0);
        report(router, "d", EngineRole.DECODE, 1, 0, 30, 0);
        report(router, "w", EngineRole.WHOLE, 1, 0, 0, 0);

        RoutingDecision decision =
                router.choose(request(MODEL, 1_000, 20), backend -> true, 0).orElseThrow();

        assertEquals(decision.backend(), "w");
        assertTrue(decision.prefillBackend().isEmpty());
    }

    @Test
    public void should_not_choose_an_engine_that_has_left() {
        report(router, "a", EngineRole.WHOLE, 1, 0, 0, 0);
        router.removed("a");

        assertTrue(router.choose(request(MODEL, 100, 10), backend -> true, 0).isEmpty());
    }

    @Test
    public void should_follow_an_engine_to_its_new_role() {
        report(router, "a", EngineRole.WHOLE, 1, 0, 0, 0);
        report(router, "a", EngineRole.DECODE, 2, 0, 0, SECOND);

        assertTrue(
                router.choose(request(MODEL, 100, 10), backend -> true, SECOND).isEmpty());
    }

    // The network may deliver two reports of one engine in the wrong order. An older one that was believed would bring
    // back a queue that is long worked off, and requests would avoid an idle engine.
    @Test
    public void should_drop_a_report_that_was_overtaken() {
        report(router, "a", EngineRole.WHOLE, 5, 0, 0, 3 * SECOND);
        router.reported(
                "a", load(4, 90_000, 0), EngineRole.WHOLE, true, Set.of(MODEL), Duration.ofSeconds(2), 3 * SECOND);

        RoutingDecision decision = router.choose(request(MODEL, 100, 10), backend -> true, 3 * SECOND)
                .orElseThrow();

        assertEquals(decision.queueSeconds(), 0, 0.01);
    }

    @Test
    public void should_forget_requests_that_have_ended() {
        report(router, "a", EngineRole.WHOLE, 1, 0, 0, 0);
        RoutingRequest request = request(MODEL, 100, 10);
        router.sent(request, router.choose(request, backend -> true, 0).orElseThrow(), 0);

        router.ended(request.id(), SECOND);

        assertEquals(router.outstanding(), 0);
    }

    @Test
    public void should_say_when_cache_events_were_missed() {
        router.added("a", "one");

        assertFalse(router.cacheEvent("a", 1, new CacheEvent.Stored(List.of(1L))));
        assertTrue(router.cacheEvent("a", 3, new CacheEvent.Stored(List.of(2L))));
        assertFalse(router.cacheEvent("unknown", 3, new CacheEvent.Cleared()));
    }

    private static Router router(int seed) {
        return new Router(RouterSettings.usual("one"), new SplittableRandom(seed));
    }

    private static void report(
            Router router, String backend, EngineRole role, long sequence, long queued, int running, long now) {
        router.added(backend, "one");
        router.reported(backend, load(sequence, queued, running), role, true, Set.of(MODEL), Duration.ZERO, now);
    }

    private static EngineLoad load(long sequence, long queued, int running) {
        return new EngineLoad(sequence, queued, running, 32, 96, 96);
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
