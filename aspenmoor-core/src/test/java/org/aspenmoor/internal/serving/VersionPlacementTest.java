package org.aspenmoor.internal.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.routing.EngineSpeed;
import org.aspenmoor.internal.serving.entries.KnownEntries;
import org.aspenmoor.internal.serving.limit.ServerLimits;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Placement of requests and of the rest of streams on engines of two software versions. */
public class VersionPlacementTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final Duration OBJECTIVE = Duration.ofMillis(500);
    private static final SoftwareVersion OLD = new SoftwareVersion("old");
    private static final SoftwareVersion NEW = new SoftwareVersion("new");
    private static final VersionRequirement REST_OF_OLD = new VersionRequirement.Exactly(OLD);
    private static final Prompt PROMPT =
            new Prompt("m", 20_000, 100, Optional.empty(), List.of(new PromptPart("own", 20_000)));

    private static final Prompt QUEUED_PROMPT =
            new Prompt("m", 5_000, 100, Optional.empty(), List.of(new PromptPart("own", 5_000)));

    /** Engines that compute several prompts within a fraction of the objective, so that requests wait at the entry. */
    private static final EngineSpeed FAST = new EngineSpeed(112_000, 0.003_41, 0.000_097, 0.25, 2048, 0.008, 2_300_000);

    /** A choice without regard to the version would pass a single try every other time. */
    private static final int TRIES = 50;

    private PlacementPolicy policy;

    @BeforeMethod
    public void createPolicy() {
        policy = policy(EngineSpeed.defaults());
    }

    private static PlacementPolicy policy(EngineSpeed speed) {
        return new PlacementPolicy(
                new PlacementSettings(TestServers.DATA_CENTRE, speed, 0.42, 0.000_218),
                new PeerLoads(),
                new ServerLimits(new KnownEntries("one"), new Random(1)),
                new Random(1));
    }

    @Test
    public void should_place_the_rest_of_a_stream_on_a_server_of_its_version() {
        add("old", OLD, EngineRole.DECODE);
        add("new", NEW, EngineRole.DECODE);

        for (int attempt = 0; attempt < TRIES; attempt++) {
            assertEquals(chosen(policy.choose(request(REST_OF_OLD, Set.of()), SECOND)), "old");
        }
    }

    // Guards against the rest of a stream that waits for, or is refused because of, engines that may not write it.
    @Test
    public void should_refuse_the_rest_of_a_stream_at_once_when_no_server_of_its_version_is_left() {
        add("new", NEW, EngineRole.DECODE);
        add("new-prefill", NEW, EngineRole.PREFILL);

        assertTrue(policy.choose(request(REST_OF_OLD, Set.of()), SECOND) instanceof Placement.Refused);
    }

    // Guards against a prompt that is computed for a stream though no engine may generate the rest.
    @Test
    public void should_refuse_the_rest_of_a_stream_when_only_prefill_engines_of_its_version_are_left() {
        add("old-prefill", OLD, EngineRole.PREFILL);
        add("new", NEW, EngineRole.DECODE);

        assertTrue(policy.choose(request(REST_OF_OLD, Set.of()), SECOND) instanceof Placement.Refused);
    }

    @Test
    public void should_choose_a_decode_engine_of_the_version_when_the_prompt_of_the_rest_has_been_computed() {
        add("old", OLD, EngineRole.DECODE);
        add("new", NEW, EngineRole.DECODE);

        for (int attempt = 0; attempt < TRIES; attempt++) {
            Optional<BackendServer> engine = policy.chooseDecodeEngine(
                    request(REST_OF_OLD, Set.of()), engine("prefill", OLD, EngineRole.PREFILL), SECOND);
            assertEquals(engine.map(BackendServer::id), Optional.of("old"));
        }
    }

    // Guards against the rest of a stream that keeps back all requests behind it in the queue, while the engines of its
    // version are full and the others have room.
    @Test
    public void should_not_let_the_rest_of_a_stream_wait_at_the_entry_when_other_versions_serve() {
        policy = policy(FAST);
        add("old", OLD, EngineRole.DECODE);
        add("old-prefill", OLD, EngineRole.PREFILL);
        policy.attemptEnded(policy.attemptStarted(
                engine("old-prefill", OLD, EngineRole.PREFILL), WorkKind.PROMPT_ONLY, 0.02, OBJECTIVE, SECOND));

        assertTrue(policy.choose(whileOthersWait(REST_OF_OLD), SECOND) instanceof Placement.Queued);
        add("new", NEW, EngineRole.DECODE);
        assertFalse(policy.choose(whileOthersWait(REST_OF_OLD), SECOND) instanceof Placement.Queued);
    }

    private static PlacementRequest whileOthersWait(VersionRequirement version) {
        return new PlacementRequest(
                TestServers.MODEL_SERVICE,
                Optional.of(QUEUED_PROMPT),
                Duration.ofSeconds(5),
                OBJECTIVE,
                true,
                Set.of(),
                true,
                true,
                true,
                version);
    }

    // Guards against a stream that is lost though the only engine of its version, which has broken it off, is alive.
    @Test
    public void should_ask_a_tried_server_again_when_no_other_one_may_write_the_rest() {
        add("old", OLD, EngineRole.DECODE);
        add("old-prefill", OLD, EngineRole.PREFILL);
        add("new", NEW, EngineRole.DECODE);

        PlacementRequest request = request(REST_OF_OLD, Set.of("old"));
        Placement.Disaggregated placement = (Placement.Disaggregated) policy.choose(request, SECOND);
        Optional<BackendServer> answering = policy.chooseDecodeEngine(request, placement.prefill(), SECOND);

        assertEquals(placement.prefill().id(), "old-prefill");
        assertEquals(answering.map(BackendServer::id), Optional.of("old"));
    }

    // Guards against a stream that waits for an engine that has just refused a connection.
    @Test
    public void should_not_ask_a_tried_server_again_when_it_was_unreachable() {
        add("old", OLD, EngineRole.DECODE);
        add("new", NEW, EngineRole.DECODE);
        AssignedWork work =
                policy.attemptStarted(engine("old", OLD, EngineRole.DECODE), WorkKind.WHOLE, 0.1, OBJECTIVE, SECOND);
        policy.serverUnreachable(work, SECOND);

        assertTrue(policy.choose(request(REST_OF_OLD, Set.of("old")), SECOND) instanceof Placement.Refused);
    }

    // Guards against a request that may run anywhere and is sent to the same server again.
    @Test
    public void should_not_ask_a_tried_server_again_when_any_version_will_do() {
        add("old", OLD, EngineRole.DECODE);

        assertTrue(
                policy.choose(request(new VersionRequirement.Any(), Set.of("old")), SECOND)
                        instanceof Placement.Refused);
    }

    // Guards against an answer that is broken off because its engine changes its role, when only engines of another
    // version could take it over.
    @Test
    public void should_leave_an_answer_where_it_is_when_only_another_version_could_take_it_over() {
        add("old", OLD, EngineRole.DECODE);
        add("new", NEW, EngineRole.DECODE);
        AssignedWork work =
                policy.attemptStarted(engine("old", OLD, EngineRole.DECODE), WorkKind.WHOLE, 0.1, OBJECTIVE, SECOND);
        policy.roleChangeOrdered(new RoleChange("old", EngineRole.PREFILL), SECOND);

        assertFalse(movesWithin(TRIES, work));

        add("old-too", OLD, EngineRole.DECODE);
        assertTrue(movesWithin(TRIES, work));
    }

    // Guards against streams that begin where no other engine could write the rest, though a better place is as good.
    @Test
    public void should_begin_a_stream_that_may_be_taken_up_again_at_a_version_with_several_engines() {
        add("alone", NEW, EngineRole.DECODE);
        add("old-1", OLD, EngineRole.DECODE);
        add("old-2", OLD, EngineRole.DECODE);

        for (int attempt = 0; attempt < TRIES; attempt++) {
            PlacementRequest request = request(new VersionRequirement.PreferablyShared(Set.of(OLD, NEW)), Set.of());
            assertFalse(chosen(policy.choose(request, SECOND)).equals("alone"));
            BackendServer prefill = engine("prefill", NEW, EngineRole.PREFILL);
            assertFalse(policy.chooseDecodeEngine(request, prefill, SECOND)
                    .orElseThrow()
                    .id()
                    .equals("alone"));
        }
    }

    // Guards against callers who wait because of a preference.
    @Test
    public void should_begin_a_stream_at_the_only_engine_of_a_version_when_the_others_are_busy() {
        add("alone", NEW, EngineRole.DECODE);
        add("old-1", OLD, EngineRole.DECODE);
        add("old-2", OLD, EngineRole.DECODE);
        for (String busy : List.of("old-1", "old-2")) {
            policy.attemptStarted(engine(busy, OLD, EngineRole.DECODE), WorkKind.WHOLE, 0.5, OBJECTIVE, SECOND);
        }

        PlacementRequest request = request(new VersionRequirement.PreferablyShared(Set.of(OLD, NEW)), Set.of());
        assertEquals(chosen(policy.choose(request, SECOND)), "alone");
    }

    // Guards against streams of a version that no entry would know of if all were killed before they have stated it.
    @Test
    public void should_begin_streams_at_stated_versions_only_when_one_of_their_servers_can_answer() {
        add("old", OLD, EngineRole.DECODE);
        add("new-1", NEW, EngineRole.DECODE);
        add("new-2", NEW, EngineRole.DECODE);

        for (int attempt = 0; attempt < TRIES; attempt++) {
            PlacementRequest request = request(new VersionRequirement.PreferablyShared(Set.of(OLD)), Set.of());
            assertEquals(chosen(policy.choose(request, SECOND)), "old");
        }
    }

    // Guards against callers that are refused as long as the store takes no statement.
    @Test
    public void should_begin_streams_at_other_versions_when_no_server_of_a_stated_one_can_answer() {
        add("new", NEW, EngineRole.DECODE);

        PlacementRequest request = request(new VersionRequirement.PreferablyShared(Set.of(OLD)), Set.of());

        assertEquals(chosen(policy.choose(request, SECOND)), "new");
    }

    // Guards against caches that are read by another version than has written them, though an engine is as good.
    @Test
    public void should_hand_a_computed_prompt_to_an_engine_of_the_version_that_has_computed_it() {
        add("old", OLD, EngineRole.DECODE);
        add("new", NEW, EngineRole.DECODE);

        for (int attempt = 0; attempt < TRIES; attempt++) {
            Optional<BackendServer> engine = policy.chooseDecodeEngine(
                    request(new VersionRequirement.Any(), Set.of()),
                    engine("prefill", NEW, EngineRole.PREFILL),
                    SECOND);
            assertEquals(engine.map(BackendServer::id), Optional.of("new"));
        }
    }

    private boolean movesWithin(int events, AssignedWork work) {
        for (int event = 0; event < events; event++) {
            if (policy.answerMoves().shouldLeave(work, SECOND)) {
                return true;
            }
        }
        return false;
    }

    private void add(String id, SoftwareVersion version, EngineRole role) {
        policy.serverChanged(engine(id, version, role), TestServers.CACHE_TOKENS);
    }

    private static BackendServer engine(String id, SoftwareVersion version, EngineRole role) {
        return TestServers.engine(id, version, role);
    }

    private static String chosen(Placement placement) {
        return ((Placement.SingleServer) placement).server().id();
    }

    private static PlacementRequest request(VersionRequirement version, Set<String> excluded) {
        return new PlacementRequest(
                TestServers.MODEL_SERVICE,
                Optional.of(PROMPT),
                Duration.ofSeconds(5),
                OBJECTIVE,
                true,
                excluded,
                true,
                true,
                false,
                version);
    }
}
