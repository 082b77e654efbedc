package org.aspenmoor.internal.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class LengthEstimatorTest {
    private LengthEstimator estimator;

    @BeforeMethod
    public void createEstimator() {
        estimator = new LengthEstimator();
    }

    @Test
    public void should_estimate_from_the_maximum_when_no_answer_was_observed() {
        assertEquals(estimator.estimate("cue", 400).outputTokens(), 100, 0.01);
    }

    @Test
    public void should_adapt_the_estimate_when_answers_of_a_kind_get_longer() {
        for (int number = 0; number < 500; number++) {
            estimator.observe("cue", 1_000, 500, number < 200 ? 50 : 200);
        }

        LengthEstimate estimate = estimator.estimate("cue", 400);

        assertEquals(estimate.outputTokens(), 200, 5);
        assertEquals(estimate.cachedFraction(), 0.5, 0.01);
        assertTrue(estimate.p90OutputTokens() >= estimate.outputTokens());
    }

    @Test
    public void should_keep_kinds_separate_when_only_one_was_observed() {
        estimator.observe("note", 100, 0, 900);

        assertEquals(estimator.estimate("note", 400).outputTokens(), 400, 0.01);
        assertEquals(estimator.estimate("cue", 400).outputTokens(), 100, 0.01);
    }
}
