package org.aspenmoor.internal.serving;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.testng.annotations.Test;

public class RequestDeadlinesTest {
    private static final long ARRIVED_AT = Duration.ofSeconds(100).toNanos();
    private static final Route ROUTE = new Route(
            "drafts",
            "house.example",
            "/drafts/",
            RetryRule.RESUMABLE,
            true,
            Duration.ofSeconds(15),
            Duration.ofMillis(200),
            Duration.ofSeconds(2),
            2,
            0,
            List.of(new RouteTarget("model", 1)));

    @Test
    public void should_count_the_objective_from_the_arrival() {
        assertEquals(times(Optional.empty()).objectiveDeadline(), after(Duration.ofMillis(200)));
        assertEquals(times(Optional.of(Duration.ofSeconds(13))).objectiveDeadline(), after(Duration.ofMillis(200)));
    }

    @Test
    public void should_take_the_shorter_of_patience_and_timeout_as_deadline() {
        assertEquals(times(Optional.of(Duration.ofSeconds(13))).deadline(), after(Duration.ofSeconds(13)));
        assertEquals(times(Optional.of(Duration.ofSeconds(20))).deadline(), after(Duration.ofSeconds(15)));
    }

    // A caller was refused and comes back with two thirds of its time. Its answer cannot be on time any more; taken for
    // a
    // fresh one it would go before another that can.
    @Test
    public void should_not_take_a_caller_that_returns_for_one_that_can_be_on_time() {
        assertEquals(times(Optional.of(Duration.ofSeconds(10))).objectiveDeadline(), after(Duration.ofMillis(200 - 5000)));
    }

    // An engine is lost three seconds into a stream, whose caller would wait for two seconds from the last event on.
    // Counted from the request's arrival its time would be over, and the draft would be cut though another engine can
    // go on.
    @Test
    public void should_count_a_callers_silence_from_the_last_event() {
        RequestDeadlines times = times(Optional.empty());

        assertEquals(times.callerWaitsUntil(OptionalLong.empty()), after(Duration.ofSeconds(2)));
        long lastEventAt = after(Duration.ofSeconds(3));
        assertEquals(times.callerWaitsUntil(OptionalLong.of(lastEventAt)), after(Duration.ofSeconds(5)));
        long lateEventAt = after(Duration.ofSeconds(14));
        assertEquals(times.callerWaitsUntil(OptionalLong.of(lateEventAt)), times.deadline());
    }

    private static RequestDeadlines times(Optional<Duration> patience) {
        return new RequestDeadlines(ARRIVED_AT, patience, ROUTE);
    }

    private static long after(Duration time) {
        return ARRIVED_AT + time.toNanos();
    }
}
