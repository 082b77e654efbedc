package org.aspenmoor.internal.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.aspenmoor.RefusalReason;
import org.aspenmoor.RequestId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class AdmissionQueueTest {
    private static final long SECOND = 1_000_000_000L;

    private SplittableRandom random;
    private AdmissionQueue queue;

    @BeforeMethod
    public void createQueue() {
        random = new SplittableRandom(3);
        queue = new AdmissionQueue(new AdmissionSettings(4, 1, 4));
    }

    @Test
    public void should_admit_a_request_when_the_queue_is_empty() {
        assertTrue(queue.offer(request("team", 1, 10, 1), 0) instanceof AdmissionDecision.Admitted);
    }

    @Test
    public void should_order_by_weight_and_then_deadline_when_several_requests_wait() {
        WaitingRequest lowWeight = request("team", 1, 60, 1);
        WaitingRequest highWeight = request("team", 5, 60, 1);
        WaitingRequest earlyDeadline = request("team", 5, 30, 1);
        List.of(lowWeight, highWeight, earlyDeadline).forEach(request -> queue.offer(request, 0));

        assertEquals(dispatchAll(), List.of(earlyDeadline, highWeight, lowWeight));
    }

    // Otherwise, under overload, a caller whose request cannot be served would be refused only at its deadline.
    @Test
    public void should_refuse_a_request_on_offer_when_it_cannot_finish_in_time() {
        queue.offer(request("team", 5, 60, 8), 0);

        AdmissionDecision decision = queue.offer(request("team", 1, 5, 1), 0);

        AdmissionDecision.Refused refused = (AdmissionDecision.Refused) decision;
        assertEquals(refused.reason(), RefusalReason.CANNOT_FINISH_IN_TIME);
        assertTrue(
                refused.retryAfter().toMillis() >= 4_000, refused.retryAfter().toString());
        assertEquals(queue.size(), 1);
    }

    @Test
    public void should_return_a_longer_retry_delay_when_the_backlog_is_longer() {
        queue.offer(request("team", 5, 60, 8), 0);
        AdmissionDecision.Refused early = (AdmissionDecision.Refused) queue.offer(request("team", 1, 5, 1), 0);
        queue.offer(request("team", 5, 60, 8), 0);
        AdmissionDecision.Refused late = (AdmissionDecision.Refused) queue.offer(request("team", 1, 5, 1), 0);

        assertTrue(late.retryAfter().compareTo(early.retryAfter()) > 0);
    }

    // Later requests of greater weight go ahead of a waiting request, which may then miss its deadline. Its caller
    // must be refused now and not after the deadline.
    @Test
    public void should_evict_a_request_when_requests_of_greater_weight_make_it_miss_its_deadline() {
        queue.offer(request("team", 5, 60, 2), 0);
        WaitingRequest lowWeight = request("team", 1, 6, 1);
        queue.offer(lowWeight, 0);
        queue.offer(request("team", 5, 60, 8), 0);

        List<EvictedRequest> evicted = queue.evict(0);

        assertEquals(evicted.stream().map(EvictedRequest::request).toList(), List.of(lowWeight));
        assertEquals(queue.size(), 2);
    }

    @Test
    public void should_evict_the_request_of_lowest_weight_when_the_queue_is_over_its_limit() {
        WaitingRequest lowestWeight = request("team", 1, 600, 1);
        queue.offer(lowestWeight, 0);
        for (int number = 0; number < 4; number++) {
            queue.offer(request("team", 2, 600, 1), 0);
        }

        List<EvictedRequest> evicted = queue.evict(0);

        assertEquals(evicted.getFirst().request(), lowestWeight);
        assertEquals(evicted.getFirst().refusal().reason(), RefusalReason.OVERLOADED);
        assertEquals(queue.size(), 4);
    }

    @Test
    public void should_refuse_a_request_when_it_would_be_the_first_to_be_evicted() {
        for (int number = 0; number < 4; number++) {
            queue.offer(request("team", 2, 600, 1), 0);
        }

        AdmissionDecision.Refused refused = (AdmissionDecision.Refused) queue.offer(request("team", 1, 600, 1), 0);

        assertEquals(refused.reason(), RefusalReason.OVERLOADED);
    }

    // One team sends far more requests than another. Without fair queuing its requests would fill the queue, and the
    // other team would be refused.
    @Test
    public void should_serve_teams_equally_when_one_team_floods_the_queue() {
        queue.offer(request("flooding", 9, 600, 1), 0);
        queue.offer(request("flooding", 9, 600, 1), 0);
        queue.offer(request("flooding", 9, 600, 1), 0);
        queue.offer(request("flooding", 9, 600, 1), 0);
        WaitingRequest other = request("other", 1, 600, 1);

        assertFalse(queue.offer(other, 0) instanceof AdmissionDecision.Refused);
        assertEquals(queue.evict(0).getFirst().request().team(), "flooding");
        assertTrue(dispatchAll().subList(0, 2).contains(other));
    }

    @Test
    public void should_remove_a_request_when_it_is_cancelled() {
        WaitingRequest request = request("team", 1, 600, 1);
        queue.offer(request, 0);

        assertTrue(queue.cancel(request.id()));
        assertFalse(queue.cancel(request.id()));
        assertEquals(queue.size(), 0);
    }

    @Test
    public void should_lower_the_service_rate_when_work_leaves_the_queue_slowly() {
        AdmissionQueue slow = new AdmissionQueue(new AdmissionSettings(100, 1, 4));
        for (int number = 0; number < 10; number++) {
            slow.offer(request("team", 2, 600, 1), 0);
        }
        double before = slow.rate();
        for (int second = 1; second <= 9; second++) {
            slow.offer(request("team", 2, 600, 0.01), second * 4L * SECOND);
            slow.markDispatched(slow.next().orElseThrow(), second * 4L * SECOND);
        }

        assertTrue(slow.rate() < before, slow.rate() + " is not below " + before);
    }

    private List<WaitingRequest> dispatchAll() {
        List<WaitingRequest> order = new ArrayList<>();
        while (queue.next().isPresent()) {
            WaitingRequest request = queue.next().get();
            queue.markDispatched(request, 0);
            order.add(request);
        }
        return order;
    }

    private WaitingRequest request(String team, double weight, double deadlineSeconds, double engineSeconds) {
        return new WaitingRequest(
                RequestId.draw(random),
                team,
                "kind",
                weight,
                (long) (deadlineSeconds * SECOND),
                engineSeconds,
                engineSeconds);
    }
}
