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

public class PlacerTest {
    private static final long MILLISECOND = 1_000_000;
    private static final Duration PATIENCE = Duration.ofSeconds(5);
    private static final EngineSpeed SPEED =
            new EngineSpeed(112_000, 0.003_41, 0.000_097, 0.25, 2048, 0.008, 2_300_000);

    private PeerLoads peers;
    private Placer placer;

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
        placer.changed(TestServers.draining("leaving"), 0);
        placer.changed(TestServers.plain("tried"), 0);
        placer.changed(TestServers.plain("fresh"), 0);

        for (int choice = 0; choice < 20; choice++) {
            assertEquals(whole(placer.choose(plainRequest(Set.of("tried")), 0)), "fresh");
        }
    }

    @Test
    public void should_spread_plain_requests_by_what_is_out() {
        placer.changed(TestServers.plain("one"), 0);
        placer.changed(TestServers.plain("two"), 0);
        Map<String, Integer> counts = new HashMap<>();
        for (int request = 0; request < 20; request++) {
            Placement.Whole chosen = (Placement.Whole) placer.choose(plainRequest(Set.of()), 0);
            placer.placed(chosen.server(), chosen.promptSeconds(), 0);
            counts.merge(chosen.server().id(), 1, Integer::sum);
        }

        assertTrue(Math.abs(counts.get("one") - counts.get("two")) <= 4, counts.toString());
    }

    // A server crashes; connections to it fail at once, so that it always looks idle. Without a pause it would be
    // chosen
    // for every request and each would lose the time of a failed attempt.
    @Test
    public void should_leave_a_server_alone_that_cannot_be_reached() {
        placer.changed(TestServers.plain("dead"), 0);
        placer.changed(TestServers.plain("live"), 0);
        PlacedWork work = placer.placed(TestServers.plain("dead"), 0.02, 0);
        placer.unreachable(work, MILLISECOND);
        placer.ended(work);

        for (int choice = 0; choice < 20; choice++) {
            assertEquals(whole(placer.choose(plainRequest(Set.of()), 2 * MILLISECOND)), "live");
        }
        Set<String> later = new HashSet<>();
        for (int choice = 0; choice < 200; choice++) {
            PlacedWork ignored = placer.placed(TestServers.plain("live"), 0.02, 5000 * MILLISECOND);
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
        placer.changed(TestServers.plain("only"), 0);
        placer.unreachable(placer.placed(TestServers.plain("only"), 0.02, 0), 0);

        assertEquals(whole(placer.choose(plainRequest(Set.of()), MILLISECOND)), "only");
    }

    // Answers of the only engine for answers are lost again and again, so that it is paused, while engines for prompts
    // are
    // fine. Left out, it would leave nobody to answer and every caller would be refused.
    @Test
    public void should_still_use_a_paused_engine_where_no_other_has_its_role() {
        placer.changed(TestServers.engine("prefill", EngineRole.PREFILL), TestServers.CACHE_TOKENS);
        placer.changed(TestServers.engine("decode", EngineRole.DECODE), TestServers.CACHE_TOKENS);
        placer.unreachable(placer.placed(TestServers.engine("decode", EngineRole.DECODE), 0.02, 0), 0);

        assertEquals(decoder(prompt("subject")), "decode");
        assertFalse(placer.choose(generation(prompt("subject")), 0) instanceof Placement.Refused);
    }

    // A server hangs: it takes requests and begins no answer. It looks no busier than others for a while; what tells is
    // the age of what it owes.
    @Test
    public void should_avoid_a_server_that_owes_an_answer_for_long() {
        placer.changed(TestServers.plain("hanging"), 0);
        placer.changed(TestServers.plain("fine"), 0);
        placer.placed(TestServers.plain("hanging"), 0.02, 0);

        for (int choice = 0; choice < 20; choice++) {
            assertEquals(whole(placer.choose(plainRequest(Set.of()), 300 * MILLISECOND)), "fine");
        }
    }

    @Test
    public void should_give_prompts_with_the_same_beginning_one_home_in_every_entry() {
        Placer other = placer(new PeerLoads(), 99);
        for (Placer each : List.of(placer, other)) {
            for (int engine = 0; engine < 5; engine++) {
                each.changed(TestServers.engine("engine-" + engine, EngineRole.WHOLE), TestServers.CACHE_TOKENS);
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
            placer.changed(TestServers.engine("engine-" + engine, EngineRole.WHOLE), TestServers.CACHE_TOKENS);
        }
        Map<String, String> before = new HashMap<>();
        for (int subject = 0; subject < 50; subject++) {
            before.put("subject-" + subject, whole(placer.choose(generation(prompt("subject-" + subject)), 0)));
        }
        placer.removed("engine-2");

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
            placer.changed(TestServers.engine("engine-" + engine, EngineRole.WHOLE), TestServers.CACHE_TOKENS);
        }
        Prompt prompt = prompt("subject");
        String home = whole(placer.choose(generation(prompt), 0));
        peers.heard(new PeerReport("other", 1, 1, Map.of(home, new PeerShare(2.0, 9)), List.of(), false), 0);

        assertNotEquals(whole(placer.choose(generation(prompt), 0)), home);
        peers.expire(PeerLoads.SILENCE.toNanos() + 1);
        assertEquals(whole(placer.choose(generation(prompt), 0)), home, "a silent entry counts for nothing");
    }

    @Test
    public void should_compute_a_prompt_at_one_engine_and_answer_at_another() {
        placer.changed(TestServers.engine("prefill", EngineRole.PREFILL), TestServers.CACHE_TOKENS);
        placer.changed(TestServers.engine("decode", EngineRole.DECODE), TestServers.CACHE_TOKENS);
        PlacedWork busy = placer.placed(TestServers.engine("decode", EngineRole.DECODE), 0.1, 0);
        placer.answerBegan(busy, 100 * MILLISECOND);
        Prompt longPrompt = new Prompt("m", 40_000, 10, List.of(new PromptPart("own", 40_000)));

        Placement chosen = placer.choose(generation(longPrompt), 100 * MILLISECOND);

        Placement.Staged staged = (Placement.Staged) chosen;
        assertEquals(staged.prefill().id(), "prefill");
        assertEquals(decoder(longPrompt), "decode");
    }

    // A prompt is computed for some seconds, and meanwhile the engine that should answer begins to leave. Work sent to
    // it
    // now would reach it long after it said so, and be cut with it.
    @Test
    public void should_choose_who_answers_once_the_prompt_is_computed() {
        placer.changed(TestServers.engine("prefill", EngineRole.PREFILL), TestServers.CACHE_TOKENS);
        placer.changed(TestServers.engine("leaving", EngineRole.DECODE), TestServers.CACHE_TOKENS);
        assertEquals(decoder(prompt("subject")), "leaving");

        placer.changed(TestServers.leavingEngine("leaving", EngineRole.DECODE), TestServers.CACHE_TOKENS);
        placer.changed(TestServers.engine("staying", EngineRole.DECODE), TestServers.CACHE_TOKENS);

        assertEquals(decoder(prompt("subject")), "staying");
    }

    @Test
    public void should_never_answer_at_an_engine_that_only_computes_prompts() {
        placer.changed(TestServers.engine("prefill", EngineRole.PREFILL), TestServers.CACHE_TOKENS);

        assertTrue(placer.choose(generation(prompt("subject")), 0) instanceof Placement.Refused);
    }

    // All engines have queues of many seconds. A request that would wait past its deadline only keeps others waiting;
    // its caller is told at once, with a time after which the queue has shrunk.
    @Test
    public void should_refuse_at_once_what_cannot_begin_in_time() {
        placer.changed(TestServers.engine("engine", EngineRole.WHOLE), TestServers.CACHE_TOKENS);
        peers.heard(new PeerReport("other", 1, 1, Map.of("engine", new PeerShare(8.0, 40)), List.of(), false), 0);

        Placement.Refused refused = (Placement.Refused) placer.choose(generation(prompt("subject")), 0);

        assertTrue(refused.comeBackAfter().compareTo(Duration.ofSeconds(2)) > 0, refused.toString());
    }

    private static Placer placer(PeerLoads peers, long seed) {
        PlacementSettings settings = new PlacementSettings(TestServers.DATA_CENTRE, SPEED, 0.42, 0.000_218);
        return new Placer(settings, peers, new Random(seed));
    }

    private static PlacementRequest plainRequest(Set<String> avoided) {
        return new PlacementRequest(TestServers.PLAIN_SERVICE, Optional.empty(), PATIENCE, avoided, true);
    }

    private static PlacementRequest generation(Prompt prompt) {
        return new PlacementRequest(TestServers.MODEL_SERVICE, Optional.of(prompt), PATIENCE, Set.of(), true);
    }

    private static Prompt prompt(String subject) {
        return new Prompt("m", 17_000, 12, List.of(new PromptPart(subject, 13_300), new PromptPart("own", 3700)));
    }

    private String decoder(Prompt prompt) {
        return placer.chooseDecoder(generation(prompt), TestServers.engine("prefill", EngineRole.PREFILL), 0)
                .orElseThrow()
                .id();
    }

    private static String whole(Placement placement) {
        return ((Placement.Whole) placement).server().id();
    }
}
