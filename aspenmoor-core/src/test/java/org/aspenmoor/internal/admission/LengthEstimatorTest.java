package org.aspenmoor.internal.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class LengthEstimatorTest {
    private LengthEstimator estimator;

    @BeforeMethod
    public void start() {
        estimator = new LengthEstimator();
    }

    @Test
    public void should_guess_from_the_limit_before_anything_was_seen() {
        assertEquals(estimator.estimate("cue", 400).outputTokens(), 100, 0.01);
    }

    @Test
    public void should_follow_a_kind_whose_answers_grow() {
        for (int number = 0; number < 500; number++) {
            estimator.seen("cue", 1_000, 500, number < 200 ? 50 : 200);
        }

        LengthEstimate estimate = estimator.estimate("cue", 400);

        assertEquals(estimate.outputTokens(), 200, 5);
        assertEquals(estimate.cachedShare(), 0.5, 0.01);
        assertTrue(estimate.highOutputTokens() >= estimate.outputTokens());
    }

    @Test
    public void should_keep_kinds_apart_and_within_their_limits() {
        estimator.seen("note", 100, 0, 900);

        assertEquals(estimator.estimate("note", 400).outputTokens(), 400, 0.01);
        assertEquals(estimator.estimate("cue", 400).outputTokens(), 100, 0.01);
    }
}
