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
            false,
            List.of(new RouteTarget("model", 1)));

    @Test
    public void should_count_the_objective_from_the_arrival() {
        assertEquals(deadlines(Optional.empty()).objectiveDeadline(), after(Duration.ofMillis(200)));
        assertEquals(deadlines(Optional.of(Duration.ofSeconds(13))).objectiveDeadline(), after(Duration.ofMillis(200)));
    }

    @Test
    public void should_use_the_shorter_of_wait_limit_and_timeout_as_deadline() {
        assertEquals(deadlines(Optional.of(Duration.ofSeconds(13))).deadline(), after(Duration.ofSeconds(13)));
        assertEquals(deadlines(Optional.of(Duration.ofSeconds(20))).deadline(), after(Duration.ofSeconds(15)));
    }

    // A caller was refused and retries with two thirds of its time left. Its answer can no longer be on time; if it
    // were treated as a first attempt, it would be dispatched before another request that can be on time.
    @Test
    public void should_subtract_the_used_time_from_the_objective_when_a_caller_retries() {
        assertEquals(
                deadlines(Optional.of(Duration.ofSeconds(10))).objectiveDeadline(),
                after(Duration.ofMillis(200 - 5000)));
    }

    // An engine fails three seconds into a stream whose caller waits for two seconds from the last event on. If the
    // time were counted from the request's arrival, it would be over, and the stream would be interrupted although
    // another engine could continue it.
    @Test
    public void should_count_the_caller_idle_timeout_from_the_last_event() {
        RequestDeadlines deadlines = deadlines(Optional.empty());

        assertEquals(deadlines.callerWaitsUntil(OptionalLong.empty()), after(Duration.ofSeconds(2)));
        long lastEventAt = after(Duration.ofSeconds(3));
        assertEquals(deadlines.callerWaitsUntil(OptionalLong.of(lastEventAt)), after(Duration.ofSeconds(5)));
        long lateEventAt = after(Duration.ofSeconds(14));
        assertEquals(deadlines.callerWaitsUntil(OptionalLong.of(lateEventAt)), deadlines.deadline());
    }

    // Guards against a stream that ends while its caller still waits, because it was believed to wait less.
    @Test
    public void should_find_the_rest_of_an_answer_useful_until_the_deadline() {
        RequestDeadlines deadlines = deadlines(Optional.empty());

        assertEquals(deadlines.usefulUntil(OptionalLong.empty()), after(Duration.ofSeconds(2)));
        long lastEventAt = after(Duration.ofSeconds(3));
        assertEquals(deadlines.usefulUntil(OptionalLong.of(lastEventAt)), deadlines.deadline());
    }

    private static RequestDeadlines deadlines(Optional<Duration> waitLimit) {
        return new RequestDeadlines(ARRIVED_AT, waitLimit, ROUTE);
    }

    private static long after(Duration time) {
        return ARRIVED_AT + time.toNanos();
    }
}
