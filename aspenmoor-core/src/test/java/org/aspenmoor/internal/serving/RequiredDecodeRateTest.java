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

    private RequiredDecodeRate decodeRate;

    @BeforeMethod
    public void createEstimate() {
        decodeRate = new RequiredDecodeRate();
    }

    // An engine that is fast enough for typical answers must not be treated as fast enough for the longest ones.
    @Test
    public void should_use_the_longest_answer_that_callers_recently_expected() {
        decodeRate.recordRequest(SERVICE, prompt(1000), ALLOWED, SECOND);
        decodeRate.recordRequest(SERVICE, prompt(10_000), ALLOWED, SECOND);
        decodeRate.recordRequest(SERVICE, prompt(100), ALLOWED, SECOND);
        recordTenAnswers();

        assertEquals(decodeRate.requiredEventSeconds(SERVICE, SECOND).orElseThrow(), 15.0 / 200, 1e-9);
    }

    @Test
    public void should_limit_the_expected_length_to_the_maximum_output() {
        decodeRate.recordRequest(SERVICE, prompt(1_000_000), ALLOWED, SECOND);
        recordTenAnswers();

        assertEquals(decodeRate.requiredEventSeconds(SERVICE, SECOND).orElseThrow(), 15.0 / 240, 1e-9);
    }

    @Test
    public void should_forget_long_answers_when_they_are_no_longer_requested() {
        decodeRate.recordRequest(SERVICE, prompt(10_000), ALLOWED, SECOND);
        recordTenAnswers();

        assertEquals(decodeRate.requiredEventSeconds(SERVICE, 60 * SECOND), Optional.empty());
    }

    @Test
    public void should_learn_the_tokens_per_event_when_expectations_are_far_off() {
        decodeRate.recordRequest(SERVICE, prompt(10_000), ALLOWED, SECOND);
        for (int answer = 0; answer < 200; answer++) {
            decodeRate.recordCompletedAnswer(SERVICE, prompt(answer % 2 == 0 ? 500 : 2000), 20);
        }

        assertEquals(decodeRate.requiredEventSeconds(SERVICE, SECOND).orElseThrow(), 15.0 / 200, 0.01);
    }

    @Test
    public void should_return_empty_when_callers_state_no_length() {
        Prompt withoutLength = new Prompt("m", 100, 12_000, Optional.empty(), List.of());
        decodeRate.recordRequest(SERVICE, withoutLength, ALLOWED, SECOND);
        for (int answer = 0; answer < 20; answer++) {
            decodeRate.recordCompletedAnswer(SERVICE, withoutLength, 20);
        }

        assertEquals(decodeRate.requiredEventSeconds(SERVICE, SECOND), Optional.empty());
    }

    // A single caller whose expectation is far off must not decide about the engines' roles.
    @Test
    public void should_return_empty_after_a_single_answer() {
        decodeRate.recordRequest(SERVICE, prompt(10_000), ALLOWED, SECOND);
        decodeRate.recordCompletedAnswer(SERVICE, prompt(100), 20);

        assertEquals(decodeRate.requiredEventSeconds(SERVICE, SECOND), Optional.empty());
    }

    // After a restart an entry has seen no answers yet; without the report of a peer, the longest answers would be
    // interrupted at their deadline in the meantime.
    @Test
    public void should_use_the_event_size_of_a_peer_until_it_has_its_own() {
        decodeRate.recordRequest(SERVICE, prompt(10_000), ALLOWED, SECOND);
        decodeRate.learnFromPeer(new EventSize(SERVICE, 50));
        assertEquals(decodeRate.requiredEventSeconds(SERVICE, SECOND).orElseThrow(), 15.0 / 200, 1e-9);

        decodeRate.learnFromPeer(new EventSize(SERVICE, 5000));
        assertEquals(decodeRate.requiredEventSeconds(SERVICE, SECOND).orElseThrow(), 15.0 / 200, 1e-9);
    }

    private void recordTenAnswers() {
        for (int answer = 0; answer < 10; answer++) {
            decodeRate.recordCompletedAnswer(SERVICE, prompt(1000), 20);
        }
    }

    private static Prompt prompt(int expectedTokens) {
        return new Prompt("m", 100, 12_000, Optional.of(expectedTokens), List.of());
    }
}
