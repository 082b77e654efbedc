package org.aspenmoor.internal.gateway.request;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.aspenmoor.internal.serving.WaitQueue;
import org.aspenmoor.internal.time.TimeSource;

/** Per service, the queue of requests that wait at this entry for an engine. Confined to the event loop. */
public final class WaitQueues {
    /** Interval at which queues are checked even if no request ends: a fraction of the time that a prefill takes. */
    private static final long POLL_MILLISECONDS = 10;

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private final TimeSource time;
    private final EventLoop eventLoop;
    private final Map<String, WaitQueue<ServedRequest>> queues = new HashMap<>();
    private Future<?> poll;
    private boolean dispatching;

    public WaitQueues(TimeSource time, EventLoop eventLoop) {
        this.time = time;
        this.eventLoop = eventLoop;
    }

    void add(WaitQueue.QueuedRequest<ServedRequest> waiting) {
        String service = waiting.request().service();
        queue(service).add(waiting);
        if (poll == null) {
            poll = eventLoop.scheduleWithFixedDelay(
                    this::dispatchAll, POLL_MILLISECONDS, POLL_MILLISECONDS, TimeUnit.MILLISECONDS);
        }
        dispatchWaiting(service);
    }

    /** Returns whether any request for a service waits. */
    public boolean anyWaiting(String service) {
        return queue(service).size() > 0;
    }

    void remove(ServedRequest request) {
        queue(request.service()).remove(request);
    }

    void dispatched(String service, long objectiveDeadline, long now) {
        queue(service).dispatched(objectiveDeadline, now);
    }

    /** Records the first byte of an answer. */
    void answerBegan(String service, long dispatchedAt, long now) {
        if (dispatchedAt > 0) {
            queue(service).answerStarted((now - dispatchedAt) / NANOSECONDS_PER_SECOND);
        }
    }

    /** Dispatches waiting requests in queue order as long as engines have capacity. */
    void dispatchWaiting(String service) {
        WaitQueue<ServedRequest> queue = queue(service);
        if (dispatching || queue.size() == 0) {
            return;
        }
        dispatching = true;
        try {
            queue.dispatchAndRefuse(
                    time::monotonicNanos, ServedRequest::refuseFromQueue, ServedRequest::continueFromQueue);
        } finally {
            dispatching = false;
        }
    }

    private void dispatchAll() {
        List.copyOf(queues.keySet()).forEach(this::dispatchWaiting);
        if (queues.values().stream().allMatch(queue -> queue.size() == 0)) {
            poll.cancel(false);
            poll = null;
        }
    }

    private WaitQueue<ServedRequest> queue(String service) {
        return queues.computeIfAbsent(service, name -> new WaitQueue<>());
    }
}
