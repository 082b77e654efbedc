package org.aspenmoor.internal.serving;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class RequiredDecodeRateTest {
    private static final String SERVICE = "drafting";
    private static final Duration ALLOWED = Duration.ofSeconds(15);
    private static final long SECOND = 1_000_000_000L;

    private RequiredDecodeRate lengths;

    @BeforeMethod
    public void startAnew() {
        lengths = new RequiredDecodeRate();
    }

    // Guards against an engine that is quick enough for usual answers being taken for quick enough for all.
    @Test
    public void should_go_by_the_longest_answer_that_callers_lately_expected() {
        lengths.recordRequest(SERVICE, prompt(1000), ALLOWED, SECOND);
        lengths.recordRequest(SERVICE, prompt(10_000), ALLOWED, SECOND);
        lengths.recordRequest(SERVICE, prompt(100), ALLOWED, SECOND);
        tellTenAnswers();

        assertEquals(lengths.requiredEventSeconds(SERVICE, SECOND).orElseThrow(), 15.0 / 200, 1e-9);
    }

    @Test
    public void should_not_expect_more_than_may_be_generated() {
        lengths.recordRequest(SERVICE, prompt(1_000_000), ALLOWED, SECOND);
        tellTenAnswers();

        assertEquals(lengths.requiredEventSeconds(SERVICE, SECOND).orElseThrow(), 15.0 / 240, 1e-9);
    }

    @Test
    public void should_forget_long_answers_that_nobody_asks_for_any_more() {
        lengths.recordRequest(SERVICE, prompt(10_000), ALLOWED, SECOND);
        tellTenAnswers();

        assertEquals(lengths.requiredEventSeconds(SERVICE, 60 * SECOND), Optional.empty());
    }

    @Test
    public void should_learn_the_tokens_of_an_event_from_expectations_that_are_far_off() {
        lengths.recordRequest(SERVICE, prompt(10_000), ALLOWED, SECOND);
        for (int answer = 0; answer < 200; answer++) {
            lengths.recordCompletedAnswer(SERVICE, prompt(answer % 2 == 0 ? 500 : 2000), 20);
        }

        assertEquals(lengths.requiredEventSeconds(SERVICE, SECOND).orElseThrow(), 15.0 / 200, 0.01);
    }

    @Test
    public void should_know_nothing_where_callers_say_nothing() {
        Prompt silent = new Prompt("m", 100, 12_000, Optional.empty(), List.of());
        lengths.recordRequest(SERVICE, silent, ALLOWED, SECOND);
        for (int answer = 0; answer < 20; answer++) {
            lengths.recordCompletedAnswer(SERVICE, silent, 20);
        }

        assertEquals(lengths.requiredEventSeconds(SERVICE, SECOND), Optional.empty());
    }

    // Guards against one caller that is far off deciding over the engines' roles.
    @Test
    public void should_know_nothing_after_a_single_answer() {
        lengths.recordRequest(SERVICE, prompt(10_000), ALLOWED, SECOND);
        lengths.recordCompletedAnswer(SERVICE, prompt(100), 20);

        assertEquals(lengths.requiredEventSeconds(SERVICE, SECOND), Optional.empty());
    }

    // Guards against an entry that has restarted and knows of no answer while the longest are cut.
    @Test
    public void should_go_by_what_another_entry_has_found_until_it_knows_itself() {
        lengths.recordRequest(SERVICE, prompt(10_000), ALLOWED, SECOND);
        lengths.learnFromPeer(new EventSize(SERVICE, 50));
        assertEquals(lengths.requiredEventSeconds(SERVICE, SECOND).orElseThrow(), 15.0 / 200, 1e-9);

        lengths.learnFromPeer(new EventSize(SERVICE, 5000));
        assertEquals(lengths.requiredEventSeconds(SERVICE, SECOND).orElseThrow(), 15.0 / 200, 1e-9);
    }

    private void tellTenAnswers() {
        for (int answer = 0; answer < 10; answer++) {
            lengths.recordCompletedAnswer(SERVICE, prompt(1000), 20);
        }
    }

    private static Prompt prompt(int expectedTokens) {
        return new Prompt("m", 100, 12_000, Optional.of(expectedTokens), List.of());
    }
}
