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
import org.aspenmoor.internal.serving.entries.KnownEntries;
import org.aspenmoor.internal.serving.limit.ServerLimits;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PlacementPolicyTest {
    private static final long MILLISECOND = 1_000_000;
    private static final Duration TIME_LEFT = Duration.ofSeconds(5);
    private static final Duration OBJECTIVE = Duration.ofMillis(500);

    /** Several such prompts are computed within the wait that the objective tolerates. */
    private static final double PROMPT_SECONDS = 0.02;

    private static final EngineSpeed SPEED =
            new EngineSpeed(112_000, 0.003_41, 0.000_097, 0.25, 2048, 0.008, 2_300_000);

    private PeerLoads peerLoads;
    private PlacementPolicy policy;

    @BeforeMethod
    public void createPolicy() {
        peerLoads = new PeerLoads();
        policy = policy(peerLoads, 1);
    }

    @Test
    public void should_refuse_when_no_server_is_known() {
        assertTrue(policy.choose(plainRequest(Set.of()), 0) instanceof Placement.Refused);
    }

    @Test
    public void should_skip_servers_that_are_draining_or_were_tried() {
        policy.serverChanged(TestServers.draining("leaving"), 0);
        policy.serverChanged(TestServers.plain("tried"), 0);
        policy.serverChanged(TestServers.plain("fresh"), 0);

        for (int choice = 0; choice < 20; choice++) {
            assertEquals(serverOf(policy.choose(plainRequest(Set.of("tried")), 0)), "fresh");
        }
    }

    @Test
    public void should_balance_plain_requests_by_open_requests() {
        policy.serverChanged(TestServers.plain("one"), 0);
        policy.serverChanged(TestServers.plain("two"), 0);
        Map<String, Integer> counts = new HashMap<>();
        for (int request = 0; request < 20; request++) {
            Placement.SingleServer chosen = (Placement.SingleServer) policy.choose(plainRequest(Set.of()), 0);
            policy.attemptStarted(chosen.server(), WorkKind.PLAIN, chosen.promptSeconds(), OBJECTIVE, 0);
            counts.merge(chosen.server().id(), 1, Integer::sum);
        }

        assertTrue(Math.abs(counts.get("one") - counts.get("two")) <= 4, counts.toString());
    }

    // A server has crashed; connections to it fail at once, so it always looks idle. Without a pause it would be chosen
    // for every request, and each would lose the time of a failed attempt.
    @Test
    public void should_pause_a_server_when_it_is_unreachable() {
        policy.serverChanged(TestServers.plain("dead"), 0);
        policy.serverChanged(TestServers.plain("live"), 0);
        AssignedWork work = policy.attemptStarted(TestServers.plain("dead"), WorkKind.PLAIN, 0.02, OBJECTIVE, 0);
        policy.serverUnreachable(work, MILLISECOND);
        policy.attemptEnded(work);

        for (int choice = 0; choice < 20; choice++) {
            assertEquals(serverOf(policy.choose(plainRequest(Set.of()), 2 * MILLISECOND)), "live");
        }
        Set<String> chosenAfterPause = new HashSet<>();
        for (int choice = 0; choice < 200; choice++) {
            AssignedWork unanswered = policy.attemptStarted(
                    TestServers.plain("live"), WorkKind.PLAIN, 0.02, OBJECTIVE, 5000 * MILLISECOND);
            chosenAfterPause.add(serverOf(policy.choose(plainRequest(Set.of()), 5000 * MILLISECOND)));
            assertNotEquals(unanswered, null);
        }
        assertTrue(chosenAfterPause.contains("dead"), "the server must be tried again after its pause");
    }

    // A network partition between this entry and all servers of a service pauses each of them. The servers may work,
    // and a request that is not even tried is certainly lost.
    @Test
    public void should_try_a_paused_server_when_all_are_paused() {
        policy.serverChanged(TestServers.plain("only"), 0);
        policy.serverUnreachable(
                policy.attemptStarted(TestServers.plain("only"), WorkKind.PLAIN, 0.02, OBJECTIVE, 0), 0);

        assertEquals(serverOf(policy.choose(plainRequest(Set.of()), MILLISECOND)), "only");
    }

    // Answers of the only decode engine are lost repeatedly, so it is paused, while the prefill engines work. If it
    // were excluded, no engine could answer and every caller would be refused.
    @Test
    public void should_use_a_paused_engine_when_no_other_has_its_role() {
        policy.serverChanged(TestServers.engine("prefill", EngineRole.PREFILL), TestServers.CACHE_TOKENS);
        policy.serverChanged(TestServers.engine("decode", EngineRole.DECODE), TestServers.CACHE_TOKENS);
        policy.serverUnreachable(
                policy.attemptStarted(
                        TestServers.engine("decode", EngineRole.DECODE), WorkKind.WHOLE, 0.02, OBJECTIVE, 0),
                0);

        assertEquals(decodeEngineFor(prompt("subject")), "decode");
        assertFalse(policy.choose(generationRequest(prompt("subject")), 0) instanceof Placement.Refused);
    }

    // A stalled server accepts requests but starts no answer. At first it looks no busier than others; only the age of
    // its unanswered requests shows the fault.
    @Test
    public void should_avoid_a_server_when_an_answer_is_overdue() {
        policy.serverChanged(TestServers.plain("hanging"), 0);
        policy.serverChanged(TestServers.plain("fine"), 0);
        policy.attemptStarted(TestServers.plain("hanging"), WorkKind.PLAIN, 0.02, OBJECTIVE, 0);

        for (int choice = 0; choice < 20; choice++) {
            assertEquals(serverOf(policy.choose(plainRequest(Set.of()), 300 * MILLISECOND)), "fine");
        }
    }

    @Test
    public void should_choose_the_same_engine_in_every_entry_when_prompts_share_a_prefix() {
        PlacementPolicy other = policy(new PeerLoads(), 99);
        for (PlacementPolicy each : List.of(policy, other)) {
            for (int engine = 0; engine < 5; engine++) {
                each.serverChanged(TestServers.engine("engine-" + engine, EngineRole.WHOLE), TestServers.CACHE_TOKENS);
            }
        }
        Set<String> engines = new HashSet<>();
        for (int subject = 0; subject < 50; subject++) {
            Prompt prompt = prompt("subject-" + subject);
            String preferred = serverOf(policy.choose(generationRequest(prompt), 0));
            assertEquals(serverOf(other.choose(generationRequest(prompt), 0)), preferred);
            engines.add(preferred);
        }
        assertEquals(engines.size(), 5);
    }

    @Test
    public void should_move_only_the_prompts_of_an_engine_when_it_is_removed() {
        for (int engine = 0; engine < 5; engine++) {
            policy.serverChanged(TestServers.engine("engine-" + engine, EngineRole.WHOLE), TestServers.CACHE_TOKENS);
        }
        Map<String, String> before = new HashMap<>();
        for (int subject = 0; subject < 50; subject++) {
            before.put(
                    "subject-" + subject, serverOf(policy.choose(generationRequest(prompt("subject-" + subject)), 0)));
        }
        policy.serverRemoved("engine-2");

        before.forEach((subject, preferred) -> {
            String now = serverOf(policy.choose(generationRequest(prompt(subject)), 0));
            assertTrue(preferred.equals("engine-2") || preferred.equals(now), subject);
        });
    }

    // Another entry has just sent several long prompts to the preferred engine. Only its report shows that; without it
    // the prompt would wait behind them while other engines are idle.
    @Test
    public void should_choose_another_engine_when_other_entries_have_filled_the_preferred_one() {
        for (int engine = 0; engine < 3; engine++) {
            policy.serverChanged(TestServers.engine("engine-" + engine, EngineRole.WHOLE), TestServers.CACHE_TOKENS);
        }
        Prompt prompt = prompt("subject");
        String preferred = serverOf(policy.choose(generationRequest(prompt), 0));
        peerLoads.receive(
                TestReports.of(
                        "other",
                        1,
                        1,
                        Map.of(preferred, new EntryLoad(2.0, 9, EventIntervals.NONE, 0)),
                        PeerMeasurements.NONE),
                0);

        assertNotEquals(serverOf(policy.choose(generationRequest(prompt), 0)), preferred);
        peerLoads.expire(PeerLoads.REPORT_TIMEOUT.toNanos() + 1);
        assertEquals(
                serverOf(policy.choose(generationRequest(prompt), 0)),
                preferred,
                "the load of an entry that stopped reporting must be ignored");
    }

    @Test
    public void should_disaggregate_a_long_prompt() {
        policy.serverChanged(TestServers.engine("prefill", EngineRole.PREFILL), TestServers.CACHE_TOKENS);
        policy.serverChanged(TestServers.engine("decode", EngineRole.DECODE), TestServers.CACHE_TOKENS);
        AssignedWork busy = policy.attemptStarted(
                TestServers.engine("decode", EngineRole.DECODE), WorkKind.WHOLE, 0.1, OBJECTIVE, 0);
        policy.answerStarted(busy, 100 * MILLISECOND);
        Prompt longPrompt = new Prompt("m", 40_000, 10, Optional.empty(), List.of(new PromptPart("own", 40_000)));

        Placement chosen = policy.choose(generationRequest(longPrompt), 100 * MILLISECOND);

        Placement.Disaggregated disaggregated = (Placement.Disaggregated) chosen;
        assertEquals(disaggregated.prefill().id(), "prefill");
        assertEquals(decodeEngineFor(longPrompt), "decode");
    }

    // A prompt is computed for several seconds, and meanwhile the decode engine starts draining. Work sent to it now
    // would arrive long after it announced that and be interrupted when it terminates.
    @Test
    public void should_choose_the_decode_engine_when_the_prompt_is_computed() {
        policy.serverChanged(TestServers.engine("prefill", EngineRole.PREFILL), TestServers.CACHE_TOKENS);
        policy.serverChanged(TestServers.engine("leaving", EngineRole.DECODE), TestServers.CACHE_TOKENS);
        assertEquals(decodeEngineFor(prompt("subject")), "leaving");

        policy.serverChanged(TestServers.drainingEngine("leaving", EngineRole.DECODE), TestServers.CACHE_TOKENS);
        policy.serverChanged(TestServers.engine("staying", EngineRole.DECODE), TestServers.CACHE_TOKENS);

        assertEquals(decodeEngineFor(prompt("subject")), "staying");
    }

    @Test
    public void should_refuse_when_there_are_only_prefill_engines() {
        policy.serverChanged(TestServers.engine("prefill", EngineRole.PREFILL), TestServers.CACHE_TOKENS);

        assertTrue(policy.choose(generationRequest(prompt("subject")), 0) instanceof Placement.Refused);
    }

    // All engines have queues of many seconds. A request that would wait past its deadline only delays others, so its
    // caller is refused at once with a retry time after which the queue has become shorter.
    @Test
    public void should_refuse_at_once_when_the_answer_cannot_start_in_time() {
        policy.serverChanged(TestServers.engine("engine", EngineRole.WHOLE), TestServers.CACHE_TOKENS);
        policy.speedReceived(new LearnedSpeed(TestServers.MODEL_SERVICE, EngineRole.WHOLE, 1, 0.035));
        peerLoads.receive(
                TestReports.of(
                        "other",
                        1,
                        1,
                        Map.of("engine", new EntryLoad(8.0, 40, EventIntervals.NONE, 0)),
                        PeerMeasurements.NONE),
                0);

        Placement.Refused refused = (Placement.Refused) policy.choose(generationRequest(prompt("subject")), 0);

        assertTrue(refused.retryAfter().compareTo(Duration.ofSeconds(2)) > 0, refused.toString());
    }

    // A decode engine has room while the prefill engines are busy. A long prompt would be computed there at half the
    // speed between the tokens of all running answers, which would then take seconds longer and miss their deadline.
    @Test
    public void should_queue_long_prompts_when_only_decode_engines_have_room() {
        policy.serverChanged(TestServers.engine("prefill", EngineRole.PREFILL), TestServers.CACHE_TOKENS);
        policy.serverChanged(TestServers.engine("decode", EngineRole.DECODE), TestServers.CACHE_TOKENS);
        policy.answerStreaming(TestServers.MODEL_SERVICE, Duration.ofSeconds(10), Duration.ofSeconds(15), 0);
        assignPrompts("prefill", 3);

        assertTrue(policy.choose(queueableRequest(prompt("subject"), false), 0) instanceof Placement.Queued);
        policy.serverRemoved("prefill");
        assertEquals(serverOf(policy.choose(queueableRequest(prompt("subject"), false), 0)), "decode");
    }

    // Short prompts arrive while long prompts fill the prefill engines. Behind them, the answer to a prompt that takes
    // a millisecond would start half a second late.
    @Test
    public void should_compute_a_short_prompt_on_the_decode_engine_when_prefill_engines_are_full() {
        policy.serverChanged(TestServers.engine("prefill", EngineRole.PREFILL), TestServers.CACHE_TOKENS);
        policy.serverChanged(TestServers.engine("decode", EngineRole.DECODE), TestServers.CACHE_TOKENS);
        assignPrompts("prefill", 3);
        Prompt shortPrompt = new Prompt("m", 100, 5000, Optional.empty(), List.of(new PromptPart("own", 100)));

        assertEquals(serverOf(policy.choose(queueableRequest(shortPrompt, true), 0)), "decode");
    }

    // Engines compute one prompt in the time that a request may wait at all. From so few prompts an entry cannot learn
    // how many it may send; requests would wait at the entry for seconds while engines are idle.
    @Test
    public void should_not_queue_prompts_when_engines_take_long_for_each() {
        policy.serverChanged(TestServers.engine("prefill", EngineRole.PREFILL), TestServers.CACHE_TOKENS);
        policy.serverChanged(TestServers.engine("decode", EngineRole.DECODE), TestServers.CACHE_TOKENS);
        BackendServer prefill = TestServers.engine("prefill", EngineRole.PREFILL);
        for (int prompt = 0; prompt < 3; prompt++) {
            policy.attemptStarted(prefill, WorkKind.PROMPT_ONLY, 10 * PROMPT_SECONDS, OBJECTIVE, 0);
        }

        assertFalse(policy.choose(queueableRequest(prompt("subject"), true), 0) instanceof Placement.Queued);
    }

    // Other requests already wait for room. A request that arrived later, perhaps as a retry, must not get the room
    // that has just become free before one that can still be on time.
    @Test
    public void should_queue_a_long_prompt_when_others_are_queued() {
        policy.serverChanged(TestServers.engine("prefill", EngineRole.PREFILL), TestServers.CACHE_TOKENS);
        policy.serverChanged(TestServers.engine("decode", EngineRole.DECODE), TestServers.CACHE_TOKENS);

        AssignedWork earlier = policy.attemptStarted(
                TestServers.engine("prefill", EngineRole.PREFILL), WorkKind.PROMPT_ONLY, PROMPT_SECONDS, OBJECTIVE, 0);
        policy.attemptEnded(earlier);

        assertTrue(policy.choose(queueableRequest(prompt("subject"), true), 0) instanceof Placement.Queued);
        assertTrue(policy.choose(queueableRequest(prompt("subject"), false), 0) instanceof Placement.Disaggregated);
    }

    // A prefill engine has crashed; it refuses connections at once and so never has a queue. When all others are full,
    // every waiting request would be sent there, lose an attempt, and be sent there again.
    @Test
    public void should_queue_a_prompt_when_the_only_engine_with_room_is_unreachable() {
        policy.serverChanged(TestServers.engine("crashed", EngineRole.PREFILL), TestServers.CACHE_TOKENS);
        policy.serverChanged(TestServers.engine("full", EngineRole.PREFILL), TestServers.CACHE_TOKENS);
        policy.serverChanged(TestServers.engine("decode", EngineRole.DECODE), TestServers.CACHE_TOKENS);
        policy.answerStreaming(TestServers.MODEL_SERVICE, Duration.ofSeconds(10), Duration.ofSeconds(15), 0);
        assignPrompts("full", 3);
        AssignedWork failed = policy.attemptStarted(
                TestServers.engine("crashed", EngineRole.PREFILL), WorkKind.PROMPT_ONLY, PROMPT_SECONDS, OBJECTIVE, 0);
        policy.serverUnreachable(failed, 0);
        policy.attemptEnded(failed);

        assertTrue(policy.choose(queueableRequest(prompt("subject"), false), MILLISECOND) instanceof Placement.Queued);
    }

    // The link of a decode engine has become slow. The engine has no queue and no failures; its answers just start a
    // second late.
    @Test
    public void should_avoid_an_engine_when_its_handoffs_are_slow() {
        policy.serverChanged(TestServers.engine("slow", EngineRole.DECODE), TestServers.CACHE_TOKENS);
        policy.serverChanged(TestServers.engine("quick", EngineRole.DECODE), TestServers.CACHE_TOKENS);
        completeHandoff("slow", 1000);
        completeHandoff("quick", 10);

        assertEquals(decodeEngineFor(prompt("subject")), "quick");
    }

    // A process that has just started knows only the speeds of its settings. On their basis it would refuse callers
    // that engines several times faster could serve.
    @Test
    public void should_not_refuse_while_the_speed_is_unconfirmed() {
        policy.serverChanged(TestServers.engine("engine", EngineRole.WHOLE), TestServers.CACHE_TOKENS);
        Prompt huge = new Prompt("m", 600_000, 10, Optional.empty(), List.of(new PromptPart("own", 600_000)));

        assertEquals(serverOf(policy.choose(generationRequest(huge), 0)), "engine");
        policy.speedReceived(new LearnedSpeed(TestServers.MODEL_SERVICE, EngineRole.WHOLE, 1, 0.035));
        assertTrue(policy.choose(generationRequest(huge), 0) instanceof Placement.Refused);
    }

    private void assignPrompts(String engine, int prompts) {
        for (int prompt = 0; prompt < prompts; prompt++) {
            policy.attemptStarted(
                    TestServers.engine(engine, EngineRole.PREFILL), WorkKind.PROMPT_ONLY, PROMPT_SECONDS, OBJECTIVE, 0);
        }
    }

    private void completeHandoff(String engine, long milliseconds) {
        BackendServer server = TestServers.engine(engine, EngineRole.DECODE);
        AssignedWork work = policy.attemptStarted(server, WorkKind.HANDOFF, 0, OBJECTIVE, -milliseconds * MILLISECOND);
        policy.answerStarted(work, 0);
        policy.attemptEnded(work);
    }

    private static PlacementRequest queueableRequest(Prompt prompt, boolean othersQueued) {
        return new PlacementRequest(
                TestServers.MODEL_SERVICE,
                Optional.of(prompt),
                TIME_LEFT,
                OBJECTIVE,
                false,
                Set.of(),
                true,
                true,
                othersQueued,
                new VersionRequirement.Any());
    }

    private static PlacementPolicy policy(PeerLoads peerLoads, long seed) {
        PlacementSettings settings = new PlacementSettings(TestServers.DATA_CENTRE, SPEED, 0.42, 0.000_218);
        return new PlacementPolicy(
                settings, peerLoads, new ServerLimits(new KnownEntries("one"), new Random(1)), new Random(seed));
    }

    private static PlacementRequest plainRequest(Set<String> excludedServers) {
        return new PlacementRequest(
                TestServers.PLAIN_SERVICE,
                Optional.empty(),
                TIME_LEFT,
                OBJECTIVE,
                false,
                excludedServers,
                true,
                false,
                false,
                new VersionRequirement.Any());
    }

    private static PlacementRequest generationRequest(Prompt prompt) {
        return new PlacementRequest(
                TestServers.MODEL_SERVICE,
                Optional.of(prompt),
                TIME_LEFT,
                OBJECTIVE,
                false,
                Set.of(),
                true,
                false,
                false,
                new VersionRequirement.Any());
    }

    private static Prompt prompt(String subject) {
        return new Prompt(
                "m",
                17_000,
                12,
                Optional.empty(),
                List.of(new PromptPart(subject, 13_300), new PromptPart("own", 3700)));
    }

    private String decodeEngineFor(Prompt prompt) {
        return policy.chooseDecodeEngine(
                        generationRequest(prompt), TestServers.engine("prefill", EngineRole.PREFILL), 0)
                .orElseThrow()
                .id();
    }

    private static String serverOf(Placement placement) {
        return ((Placement.SingleServer) placement).server().id();
    }
}
