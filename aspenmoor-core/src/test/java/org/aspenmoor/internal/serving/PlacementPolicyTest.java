package org.aspenmoor.internal.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.routing.EngineSpeed;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PlacementPolicyTest {
    private static final long MILLISECOND = 1_000_000;
    private static final Duration PATIENCE = Duration.ofSeconds(5);
    private static final Duration OBJECTIVE = Duration.ofMillis(500);

    /** Several such prompts are computed within the wait that the objective tolerates. */
    private static final double PROMPT_SECONDS = 0.02;

    private static final EngineSpeed SPEED =
            new EngineSpeed(112_000, 0.003_41, 0.000_097, 0.25, 2048, 0.008, 2_300_000);

    private PeerLoads peers;
    private PlacementPolicy placer;

    @BeforeMethod
    public void start() {
        peers = new PeerLoads();
        placer = placer(peers, 1);
    }

    @Test
    public void should_refuse_where_no_server_is_known() {
        assertTrue(placer.choose(plainRequest(Set.of()), 0) instanceof Placement.Refused);
    }

    @Test
    public void should_pass_over_servers_that_leave_or_were_tried() {
        placer.serverChanged(TestServers.draining("leaving"), 0);
        placer.serverChanged(TestServers.plain("tried"), 0);
        placer.serverChanged(TestServers.plain("fresh"), 0);

        for (int choice = 0; choice < 20; choice++) {
            assertEquals(whole(placer.choose(plainRequest(Set.of("tried")), 0)), "fresh");
        }
    }

    @Test
    public void should_spread_plain_requests_by_what_is_out() {
        placer.serverChanged(TestServers.plain("one"), 0);
        placer.serverChanged(TestServers.plain("two"), 0);
        Map<String, Integer> counts = new HashMap<>();
        for (int request = 0; request < 20; request++) {
            Placement.SingleServer chosen = (Placement.SingleServer) placer.choose(plainRequest(Set.of()), 0);
            placer.attemptStarted(chosen.server(), WorkKind.PLAIN, chosen.promptSeconds(), OBJECTIVE, 0);
            counts.merge(chosen.server().id(), 1, Integer::sum);
        }

        assertTrue(Math.abs(counts.get("one") - counts.get("two")) <= 4, counts.toString());
    }

    // A server crashes; connections to it fail at once, so that it always looks idle. Without a pause it would be
    // chosen
    // for every request and each would lose the time of a failed attempt.
    @Test
    public void should_leave_a_server_alone_that_cannot_be_reached() {
        placer.serverChanged(TestServers.plain("dead"), 0);
        placer.serverChanged(TestServers.plain("live"), 0);
        AssignedWork work = placer.attemptStarted(TestServers.plain("dead"), WorkKind.PLAIN, 0.02, OBJECTIVE, 0);
        placer.serverUnreachable(work, MILLISECOND);
        placer.attemptEnded(work);

        for (int choice = 0; choice < 20; choice++) {
            assertEquals(whole(placer.choose(plainRequest(Set.of()), 2 * MILLISECOND)), "live");
        }
        Set<String> later = new HashSet<>();
        for (int choice = 0; choice < 200; choice++) {
            AssignedWork ignored =
                    placer.attemptStarted(TestServers.plain("live"), WorkKind.PLAIN, 0.02, OBJECTIVE, 5000 * MILLISECOND);
            later.add(whole(placer.choose(plainRequest(Set.of()), 5000 * MILLISECOND)));
            assertNotEquals(ignored, null);
        }
        assertTrue(later.contains("dead"), "it is tried again after its pause");
    }

    // A cut between this entry and all servers of a service pauses each of them. They may be fine, and a request that
    // is
    // not even tried is lost for certain.
    @Test
    public void should_try_a_paused_server_where_all_are_paused() {
        placer.serverChanged(TestServers.plain("only"), 0);
        placer.serverUnreachable(placer.attemptStarted(TestServers.plain("only"), WorkKind.PLAIN, 0.02, OBJECTIVE, 0), 0);

        assertEquals(whole(placer.choose(plainRequest(Set.of()), MILLISECOND)), "only");
    }

    // Answers of the only engine for answers are lost again and again, so that it is paused, while engines for prompts
    // are
    // fine. Left out, it would leave nobody to answer and every caller would be refused.
    @Test
    public void should_still_use_a_paused_engine_where_no_other_has_its_role() {
        placer.serverChanged(TestServers.engine("prefill", EngineRole.PREFILL), TestServers.CACHE_TOKENS);
        placer.serverChanged(TestServers.engine("decode", EngineRole.DECODE), TestServers.CACHE_TOKENS);
        placer.serverUnreachable(
                placer.attemptStarted(TestServers.engine("decode", EngineRole.DECODE), WorkKind.WHOLE, 0.02, OBJECTIVE, 0), 0);

        assertEquals(decoder(prompt("subject")), "decode");
        assertFalse(placer.choose(generation(prompt("subject")), 0) instanceof Placement.Refused);
    }

    // A server hangs: it takes requests and begins no answer. It looks no busier than others for a while; what tells is
    // the age of what it owes.
    @Test
    public void should_avoid_a_server_that_owes_an_answer_for_long() {
        placer.serverChanged(TestServers.plain("hanging"), 0);
        placer.serverChanged(TestServers.plain("fine"), 0);
        placer.attemptStarted(TestServers.plain("hanging"), WorkKind.PLAIN, 0.02, OBJECTIVE, 0);

        for (int choice = 0; choice < 20; choice++) {
            assertEquals(whole(placer.choose(plainRequest(Set.of()), 300 * MILLISECOND)), "fine");
        }
    }

    @Test
    public void should_give_prompts_with_the_same_beginning_one_home_in_every_entry() {
        PlacementPolicy other = placer(new PeerLoads(), 99);
        for (PlacementPolicy each : List.of(placer, other)) {
            for (int engine = 0; engine < 5; engine++) {
                each.serverChanged(TestServers.engine("engine-" + engine, EngineRole.WHOLE), TestServers.CACHE_TOKENS);
            }
        }
        Set<String> homes = new HashSet<>();
        for (int subject = 0; subject < 50; subject++) {
            Prompt prompt = prompt("subject-" + subject);
            String home = whole(placer.choose(generation(prompt), 0));
            assertEquals(whole(other.choose(generation(prompt), 0)), home);
            homes.add(home);
        }
        assertEquals(homes.size(), 5);
    }

    @Test
    public void should_move_only_the_prompts_of_an_engine_that_leaves() {
        for (int engine = 0; engine < 5; engine++) {
            placer.serverChanged(TestServers.engine("engine-" + engine, EngineRole.WHOLE), TestServers.CACHE_TOKENS);
        }
        Map<String, String> before = new HashMap<>();
        for (int subject = 0; subject < 50; subject++) {
            before.put("subject-" + subject, whole(placer.choose(generation(prompt("subject-" + subject)), 0)));
        }
        placer.serverRemoved("engine-2");

        before.forEach((subject, home) -> {
            String now = whole(placer.choose(generation(prompt(subject)), 0));
            assertTrue(home.equals("engine-2") || home.equals(now), subject);
        });
    }

    // Another entry has just sent several long prompts to the home of this one. Only its report shows that; without it
    // the prompt would wait behind them while other engines are idle.
    @Test
    public void should_take_another_engine_where_the_other_entries_have_filled_the_home() {
        for (int engine = 0; engine < 3; engine++) {
            placer.serverChanged(TestServers.engine("engine-" + engine, EngineRole.WHOLE), TestServers.CACHE_TOKENS);
        }
        Prompt prompt = prompt("subject");
        String home = whole(placer.choose(generation(prompt), 0));
        peers.receive(
                new PeerReport(
                        "other",
                        1,
                        1,
                        Map.of(home, new EntryLoad(2.0, 9, EventIntervals.NONE)),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        false),
                0);

        assertNotEquals(whole(placer.choose(generation(prompt), 0)), home);
        peers.expire(PeerLoads.REPORT_TIMEOUT.toNanos() + 1);
        assertEquals(whole(placer.choose(generation(prompt), 0)), home, "a silent entry counts for nothing");
    }

    @Test
    public void should_compute_a_prompt_at_one_engine_and_answer_at_another() {
        placer.serverChanged(TestServers.engine("prefill", EngineRole.PREFILL), TestServers.CACHE_TOKENS);
        placer.serverChanged(TestServers.engine("decode", EngineRole.DECODE), TestServers.CACHE_TOKENS);
        AssignedWork busy =
                placer.attemptStarted(TestServers.engine("decode", EngineRole.DECODE), WorkKind.WHOLE, 0.1, OBJECTIVE, 0);
        placer.answerStarted(busy, 100 * MILLISECOND);
        Prompt longPrompt = new Prompt("m", 40_000, 10, Optional.empty(), List.of(new PromptPart("own", 40_000)));

        Placement chosen = placer.choose(generation(longPrompt), 100 * MILLISECOND);

        Placement.Disaggregated staged = (Placement.Disaggregated) chosen;
        assertEquals(staged.prefill().id(), "prefill");
        assertEquals(decoder(longPrompt), "decode");
    }

    // A prompt is computed for some seconds, and meanwhile the engine that should answer begins to leave. Work sent to
    // it
    // now would reach it long after it said so, and be cut with it.
    @Test
    public void should_choose_who_answers_once_the_prompt_is_computed() {
        placer.serverChanged(TestServers.engine("prefill", EngineRole.PREFILL), TestServers.CACHE_TOKENS);
        placer.serverChanged(TestServers.engine("leaving", EngineRole.DECODE), TestServers.CACHE_TOKENS);
        assertEquals(decoder(prompt("subject")), "leaving");

        placer.serverChanged(TestServers.leavingEngine("leaving", EngineRole.DECODE), TestServers.CACHE_TOKENS);
        placer.serverChanged(TestServers.engine("staying", EngineRole.DECODE), TestServers.CACHE_TOKENS);

        assertEquals(decoder(prompt("subject")), "staying");
    }

    @Test
    public void should_never_answer_at_an_engine_that_only_computes_prompts() {
        placer.serverChanged(TestServers.engine("prefill", EngineRole.PREFILL), TestServers.CACHE_TOKENS);

        assertTrue(placer.choose(generation(prompt("subject")), 0) instanceof Placement.Refused);
    }

    // All engines have queues of many seconds. A request that would wait past its deadline only keeps others waiting;
    // its caller is told at once, with a time after which the queue has shrunk.
    @Test
    public void should_refuse_at_once_what_cannot_begin_in_time() {
        placer.serverChanged(TestServers.engine("engine", EngineRole.WHOLE), TestServers.CACHE_TOKENS);
        placer.speedReceived(new LearnedSpeed(TestServers.MODEL_SERVICE, EngineRole.WHOLE, 1, 0.035));
        peers.receive(
                new PeerReport(
                        "other",
                        1,
                        1,
                        Map.of("engine", new EntryLoad(8.0, 40, EventIntervals.NONE)),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        false),
                0);

        Placement.Refused refused = (Placement.Refused) placer.choose(generation(prompt("subject")), 0);

        assertTrue(refused.retryAfter().compareTo(Duration.ofSeconds(2)) > 0, refused.toString());
    }

    // An engine for answers has room, those for prompts are busy. A long prompt there is computed at half the speed
    // between
    // the tokens of all running answers, which then take seconds longer and miss their deadline.
    @Test
    public void should_keep_long_prompts_away_from_engines_for_answers() {
        placer.serverChanged(TestServers.engine("prefill", EngineRole.PREFILL), TestServers.CACHE_TOKENS);
        placer.serverChanged(TestServers.engine("decode", EngineRole.DECODE), TestServers.CACHE_TOKENS);
        placer.answerStreaming(TestServers.MODEL_SERVICE, Duration.ofSeconds(10), Duration.ofSeconds(15), 0);
        fill("prefill", 3);

        assertTrue(placer.choose(waiting(prompt("subject"), false), 0) instanceof Placement.Queued);
        placer.serverRemoved("prefill");
        assertEquals(whole(placer.choose(waiting(prompt("subject"), false), 0)), "decode");
    }

    // Short drafts come while long prompts fill the engines for prompts. Behind them, a draft that takes a millisecond
    // would
    // begin half a second late.
    @Test
    public void should_answer_a_short_prompt_where_it_need_not_wait_for_long_ones() {
        placer.serverChanged(TestServers.engine("prefill", EngineRole.PREFILL), TestServers.CACHE_TOKENS);
        placer.serverChanged(TestServers.engine("decode", EngineRole.DECODE), TestServers.CACHE_TOKENS);
        fill("prefill", 3);
        Prompt draft = new Prompt("m", 100, 5000, Optional.empty(), List.of(new PromptPart("own", 100)));

        assertEquals(whole(placer.choose(waiting(draft, true), 0)), "decode");
    }

    // Engines compute one prompt in the time that a request may wait at all. By so few prompts an entry cannot learn
    // how many
    // it may send; requests would wait here for seconds while engines are idle.
    @Test
    public void should_leave_the_order_to_engines_that_take_long_for_each_prompt() {
        placer.serverChanged(TestServers.engine("prefill", EngineRole.PREFILL), TestServers.CACHE_TOKENS);
        placer.serverChanged(TestServers.engine("decode", EngineRole.DECODE), TestServers.CACHE_TOKENS);
        BackendServer prefill = TestServers.engine("prefill", EngineRole.PREFILL);
        for (int prompt = 0; prompt < 3; prompt++) {
            placer.attemptStarted(prefill, WorkKind.PROMPT_ONLY, 10 * PROMPT_SECONDS, OBJECTIVE, 0);
        }

        assertFalse(placer.choose(waiting(prompt("subject"), true), 0) instanceof Placement.Queued);
    }

    // Others wait for room already. A request that came later, perhaps for the second time, would take the place that
    // has
    // just become free from one that can still be on time.
    @Test
    public void should_let_a_long_prompt_take_its_place_behind_those_that_wait() {
        placer.serverChanged(TestServers.engine("prefill", EngineRole.PREFILL), TestServers.CACHE_TOKENS);
        placer.serverChanged(TestServers.engine("decode", EngineRole.DECODE), TestServers.CACHE_TOKENS);

        AssignedWork before = placer.attemptStarted(
                TestServers.engine("prefill", EngineRole.PREFILL), WorkKind.PROMPT_ONLY, PROMPT_SECONDS, OBJECTIVE, 0);
        placer.attemptEnded(before);

        assertTrue(placer.choose(waiting(prompt("subject"), true), 0) instanceof Placement.Queued);
        assertTrue(placer.choose(waiting(prompt("subject"), false), 0) instanceof Placement.Disaggregated);
    }

    // One engine for prompts has crashed; it refuses connections at once and so never has a queue. With all others
    // full,
    // every request that waits would be sent there, lose a try, and be sent there again.
    @Test
    public void should_not_take_a_crashed_engine_for_one_with_room() {
        placer.serverChanged(TestServers.engine("crashed", EngineRole.PREFILL), TestServers.CACHE_TOKENS);
        placer.serverChanged(TestServers.engine("full", EngineRole.PREFILL), TestServers.CACHE_TOKENS);
        placer.serverChanged(TestServers.engine("decode", EngineRole.DECODE), TestServers.CACHE_TOKENS);
        placer.answerStreaming(TestServers.MODEL_SERVICE, Duration.ofSeconds(10), Duration.ofSeconds(15), 0);
        fill("full", 3);
        AssignedWork failed = placer.attemptStarted(
                TestServers.engine("crashed", EngineRole.PREFILL), WorkKind.PROMPT_ONLY, PROMPT_SECONDS, OBJECTIVE, 0);
        placer.serverUnreachable(failed, 0);
        placer.attemptEnded(failed);

        assertTrue(placer.choose(waiting(prompt("subject"), false), MILLISECOND) instanceof Placement.Queued);
    }

    // The link of one engine for answers turns slow. It has no queue and no failures; only its answers begin a second
    // late.
    @Test
    public void should_avoid_an_engine_that_takes_long_to_take_prompts_over() {
        placer.serverChanged(TestServers.engine("slow", EngineRole.DECODE), TestServers.CACHE_TOKENS);
        placer.serverChanged(TestServers.engine("quick", EngineRole.DECODE), TestServers.CACHE_TOKENS);
        takesOver("slow", 1000);
        takesOver("quick", 10);

        assertEquals(decoder(prompt("subject")), "quick");
    }

    // A process has just started and knows no speeds but those of its settings. By them it would refuse callers whom
    // engines that are many times quicker could serve.
    @Test
    public void should_refuse_nobody_by_a_speed_that_no_answer_has_confirmed() {
        placer.serverChanged(TestServers.engine("engine", EngineRole.WHOLE), TestServers.CACHE_TOKENS);
        Prompt huge = new Prompt("m", 600_000, 10, Optional.empty(), List.of(new PromptPart("own", 600_000)));

        assertEquals(whole(placer.choose(generation(huge), 0)), "engine");
        placer.speedReceived(new LearnedSpeed(TestServers.MODEL_SERVICE, EngineRole.WHOLE, 1, 0.035));
        assertTrue(placer.choose(generation(huge), 0) instanceof Placement.Refused);
    }

    private void fill(String engine, int prompts) {
        for (int prompt = 0; prompt < prompts; prompt++) {
            placer.attemptStarted(
                    TestServers.engine(engine, EngineRole.PREFILL), WorkKind.PROMPT_ONLY, PROMPT_SECONDS, OBJECTIVE, 0);
        }
    }

    private void takesOver(String engine, long milliseconds) {
        BackendServer server = TestServers.engine(engine, EngineRole.DECODE);
        AssignedWork work = placer.attemptStarted(server, WorkKind.HANDOFF, 0, OBJECTIVE, -milliseconds * MILLISECOND);
        placer.answerStarted(work, 0);
        placer.attemptEnded(work);
    }

    private static PlacementRequest waiting(Prompt prompt, boolean othersWait) {
        return new PlacementRequest(
                TestServers.MODEL_SERVICE,
                Optional.of(prompt),
                PATIENCE,
                OBJECTIVE,
                false,
                Set.of(),
                true,
                true,
                othersWait);
    }

    private static PlacementPolicy placer(PeerLoads peers, long seed) {
        PlacementSettings settings = new PlacementSettings(TestServers.DATA_CENTRE, SPEED, 0.42, 0.000_218);
        return new PlacementPolicy(settings, peers, new Random(seed));
    }

    private static PlacementRequest plainRequest(Set<String> avoided) {
        return new PlacementRequest(
                TestServers.PLAIN_SERVICE, Optional.empty(), PATIENCE, OBJECTIVE, false, avoided, true, false, false);
    }

    private static PlacementRequest generation(Prompt prompt) {
        return new PlacementRequest(
                TestServers.MODEL_SERVICE,
                Optional.of(prompt),
                PATIENCE,
                OBJECTIVE,
                false,
                Set.of(),
                true,
                false,
                false);
    }

    private static Prompt prompt(String subject) {
        return new Prompt(
                "m",
                17_000,
                12,
                Optional.empty(),
                List.of(new PromptPart(subject, 13_300), new PromptPart("own", 3700)));
    }

    private String decoder(Prompt prompt) {
        return placer.chooseDecodeEngine(generation(prompt), TestServers.engine("prefill", EngineRole.PREFILL), 0)
                .orElseThrow()
                .id();
    }

    private static String whole(Placement placement) {
        return ((Placement.SingleServer) placement).server().id();
    }
}
