package org.aspenmoor.internal.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.aspenmoor.internal.serving.WaitQueue.QueuedRequest;
import org.testng.annotations.Test;

public class WaitQueueAllowanceTest {
    private static final long MILLISECOND = 1_000_000;
    private static final long INTERVAL = 20 * MILLISECOND;
    private static final long DEADLINE = 2_000 * MILLISECOND;
    private static final int SEEDS = 200;

    // Guards against a large organisation whose requests, queued first, make those of small ones late.
    @Test
    public void should_dispatch_an_organisation_within_its_allowance_first_when_the_others_have_time() {
        WaitQueue<Integer> queue = queueWithKnownInterval();
        queue.add(new QueuedRequest<>(1, 0, 0, 900 * MILLISECOND, DEADLINE, false));
        queue.add(new QueuedRequest<>(2, 0, MILLISECOND, 900 * MILLISECOND, DEADLINE, true));

        assertEquals(queue.takeNext(0).orElseThrow().request(), Integer.valueOf(2));
    }

    // Guards against an order among organisations that makes a request late that would have been on time.
    @Test
    public void should_keep_the_order_when_an_overtaken_request_would_miss_its_objective() {
        WaitQueue<Integer> queue = queueWithKnownInterval();
        queue.add(new QueuedRequest<>(1, 0, 0, 101 * MILLISECOND, DEADLINE, false));
        queue.add(new QueuedRequest<>(2, 0, MILLISECOND, 900 * MILLISECOND, DEADLINE, true));

        assertEquals(queue.takeNext(0).orElseThrow().request(), Integer.valueOf(1));
    }

    // Guards against the same over a whole queue: what is on time without regard to organisations stays on time.
    @Test
    public void should_make_no_request_late_that_is_on_time_without_regard_to_organisations() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            List<Integer> regardless = onTime(seed, false);
            List<Integer> withAllowances = onTime(seed, true);

            assertTrue(withAllowances.containsAll(regardless), "seed " + seed + ": " + regardless + withAllowances);
        }
    }

    private static List<Integer> onTime(int seed, boolean allowances) {
        Random random = new Random(seed);
        WaitQueue<Integer> queue = queueWithKnownInterval();
        for (int request = 0; request < 20; request++) {
            long objective = 110 * MILLISECOND + random.nextInt(400) * MILLISECOND;
            boolean within = random.nextBoolean() || !allowances;
            queue.add(new QueuedRequest<>(request, 0, request, objective, DEADLINE, within));
        }
        List<Integer> onTime = new ArrayList<>();
        for (long now = 0; queue.size() > 0; now += INTERVAL) {
            QueuedRequest<Integer> next = queue.takeNext(now).orElseThrow();
            if (next.objectiveDeadline() - now >= 100 * MILLISECOND) {
                onTime.add(next.request());
            }
        }
        return onTime;
    }

    /** Returns an empty queue that has measured a dispatch at every interval and answers of 100 ms. */
    private static WaitQueue<Integer> queueWithKnownInterval() {
        WaitQueue<Integer> queue = new WaitQueue<>();
        queue.add(new QueuedRequest<>(-1, 0, 0, DEADLINE, DEADLINE));
        for (int dispatch = -500; dispatch < 0; dispatch++) {
            queue.dispatched(DEADLINE, dispatch * INTERVAL);
        }
        queue.remove(-1);
        return queue;
    }
}
