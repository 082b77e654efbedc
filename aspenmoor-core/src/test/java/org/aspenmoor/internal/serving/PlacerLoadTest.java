package org.aspenmoor.internal.serving;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.routing.EngineSpeed;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Placements in a burst of short prompts, while long ones queue at the engines for prompts. */
public class PlacerLoadTest {
    private static final EngineSpeed SPEED =
            new EngineSpeed(112_000, 0.003_41, 0.000_097, 0.25, 2048, 0.008, 2_300_000);
    private static final int STREAMS = 10;

    private PeerLoads peers;
    private Placer placer;

    @BeforeMethod
    public void start() {
        peers = new PeerLoads();
        placer = new Placer(
                new PlacementSettings(TestServers.DATA_CENTRE, SPEED, 0.42, 0.000_218), peers, new Random(1));
        placer.changed(TestServers.engine("prefill", EngineRole.PREFILL), TestServers.CACHE_TOKENS);
        placer.changed(TestServers.engine("decode", EngineRole.DECODE), TestServers.CACHE_TOKENS);
    }

    // Prompts wait for 150 ms. A short one that is computed at the engine for answers begins its own answer sooner than
    // it
    // needs to, and holds the tokens of all answers there up; the longest of them then miss their deadline.
    @Test
    public void should_leave_a_short_prompt_to_the_engines_for_prompts_while_it_is_on_time() {
        queueAtPrefill(0.15);

        assertTrue(placer.choose(shortPrompt(), 0) instanceof Placement.Staged);
    }

    // Prompts wait for 0.8 s, twice the time in which the answer should begin. The engine for answers can begin it in
    // time.
    @Test
    public void should_compute_a_short_prompt_where_it_is_answered_if_it_would_be_late_otherwise() {
        queueAtPrefill(0.8);

        assertTrue(placer.choose(shortPrompt(), 0) instanceof Placement.Whole);
    }

    private void queueAtPrefill(double seconds) {
        Map<String, PeerShare> shares =
                Map.of("prefill", new PeerShare(seconds, 4), "decode", new PeerShare(0, STREAMS));
        peers.heard(new PeerReport("other", 1, 1, shares, List.of(), false), 0);
    }

    private static PlacementRequest shortPrompt() {
        Prompt prompt = new Prompt("m", 1110, 170, List.of(new PromptPart("own", 1110)));
        return new PlacementRequest(
                TestServers.MODEL_SERVICE,
                Optional.of(prompt),
                Duration.ofSeconds(6),
                Duration.ofMillis(400),
                Set.of(),
                true);
    }
}
