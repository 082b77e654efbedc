package org.aspenmoor.internal.serving;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.routing.EngineSpeed;
import org.aspenmoor.internal.serving.entries.KnownEntries;
import org.aspenmoor.internal.serving.limit.ServerLimits;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class AnswerMovesTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final Duration OBJECTIVE = Duration.ofMillis(150);
    private static final int TOKENS_PER_EVENT = 50;
    private static final int EXPECTED_EVENTS = 100;
    private static final Prompt PROMPT = new Prompt(
            "m",
            200,
            4 * EXPECTED_EVENTS * TOKENS_PER_EVENT,
            Optional.of(EXPECTED_EVENTS * TOKENS_PER_EVENT),
            List.of(new PromptPart("own", 200)));

    private PlacementPolicy policy;
    private AssignedWork onCrowded;
    private AssignedWork onOther;

    @BeforeMethod
    public void createPolicy() {
        policy = new PlacementPolicy(
                new PlacementSettings("here", EngineSpeed.defaults(), 0.42, 0),
                new PeerLoads(),
                new ServerLimits(new KnownEntries("one"), new Random(1)),
                new Random(1));
        policy.serverChanged(TestServers.engine("crowded", EngineRole.DECODE), TestServers.CACHE_TOKENS);
        policy.serverChanged(TestServers.engine("other", EngineRole.DECODE), TestServers.CACHE_TOKENS);
        for (int answer = 0; answer < 40; answer++) {
            onCrowded = start("crowded");
        }
        onOther = start("other");
        for (int answer = 0; answer < 3; answer++) {
            policy.answerCompleted(TestServers.MODEL_SERVICE, PROMPT, EXPECTED_EVENTS);
        }
    }

    // Guards against long answers that stay on an engine until they are cut though another one would complete them.
    @Test
    public void should_rescue_an_answer_that_only_another_engine_completes_in_time() {
        receiveEvents(onCrowded, 0.09);
        receiveEvents(onOther, 0.04);

        assertTrue(policy.answerMoves().canBeRescued(onCrowded, answer(50, 8), SECOND));
    }

    @Test
    public void should_leave_an_answer_where_it_is_when_its_engine_completes_it_in_time() {
        receiveEvents(onCrowded, 0.07);
        receiveEvents(onOther, 0.04);

        assertFalse(policy.answerMoves().canBeRescued(onCrowded, answer(50, 8), SECOND));
    }

    // Guards against moves that load another engine and still complete nothing.
    @Test
    public void should_leave_an_answer_where_it_is_when_no_engine_completes_it_in_time() {
        receiveEvents(onCrowded, 0.09);
        receiveEvents(onOther, 0.08);

        assertFalse(policy.answerMoves().canBeRescued(onCrowded, answer(50, 8), SECOND));
    }

    @Test
    public void should_reckon_with_the_longest_answer_when_one_is_longer_than_stated() {
        receiveEvents(onCrowded, 0.02);
        receiveEvents(onOther, 0.005);

        assertFalse(policy.answerMoves().canBeRescued(onCrowded, answer(149, 4), SECOND));
        assertTrue(policy.answerMoves().canBeRescued(onCrowded, answer(151, 4), SECOND));
    }

    @Test
    public void should_not_rescue_to_an_engine_that_changes_its_role() {
        receiveEvents(onCrowded, 0.09);
        receiveEvents(onOther, 0.04);
        policy.roleChangeOrdered(new RoleChange("other", EngineRole.PREFILL), SECOND);

        assertFalse(policy.answerMoves().canBeRescued(onCrowded, answer(50, 8), SECOND));
    }

    @Test
    public void should_not_rescue_while_the_length_of_answers_is_unknown() {
        Prompt withoutLength = new Prompt("m", 200, 20_000, Optional.empty(), PROMPT.parts());
        receiveEvents(onCrowded, 0.09);
        receiveEvents(onOther, 0.04);

        AnswerInProgress answer = new AnswerInProgress(withoutLength, 50, 8);
        assertFalse(policy.answerMoves().canBeRescued(onCrowded, answer, SECOND));
    }

    private AssignedWork start(String engine) {
        return policy.attemptStarted(
                TestServers.engine(engine, EngineRole.DECODE), WorkKind.WHOLE, 0, OBJECTIVE, SECOND);
    }

    private void receiveEvents(AssignedWork work, double intervalSeconds) {
        Duration interval = Duration.ofNanos((long) (intervalSeconds * SECOND));
        for (int event = 0; event < 20; event++) {
            policy.eventReceived(work, interval, SECOND);
        }
    }

    private static AnswerInProgress answer(int events, double secondsLeft) {
        return new AnswerInProgress(PROMPT, events, secondsLeft);
    }
}
