package org.aspenmoor.internal.gateway.request;

import org.aspenmoor.internal.serving.Placement;
import org.aspenmoor.internal.serving.RequestDeadlines;
import org.aspenmoor.internal.serving.WaitQueue;

/** Records the steps of one request in the wait queue of its service: queued, dispatched to an engine, answered. */
final class QueueTracker {
    private final ServingContext context;
    private final ServedRequest request;
    private final RequestDeadlines deadlines;
    private final RequestShare share;
    private final RequestTrace trace;
    private long dispatchedAt;
    private boolean queued;

    QueueTracker(
            ServingContext context,
            ServedRequest request,
            RequestDeadlines deadlines,
            RequestShare share,
            RequestTrace trace) {
        this.context = context;
        this.request = request;
        this.deadlines = deadlines;
        this.share = share;
        this.trace = trace;
    }

    /**
     * Adds the request to the queue until an engine has capacity.
     *
     * @param latestUsefulStart when the answer has to begin at the latest to be of use, in nanoseconds of the monotonic
     *     clock
     */
    void enqueue(Placement.Queued placement, long latestUsefulStart) {
        leave();
        queued = true;
        trace.queued(now());
        share.noRoom();
        context.waitQueues()
                .add(new WaitQueue.QueuedRequest<>(
                        request,
                        placement.promptSeconds(),
                        deadlines.arrivedAt(),
                        deadlines.objectiveDeadline(),
                        latestUsefulStart,
                        share.withinAllowance()));
    }

    /** Removes the request from the queue, because its open attempt goes on. */
    void leave() {
        if (queued) {
            queued = false;
            context.waitQueues().remove(request);
        }
    }

    /** Records that the request is sent to an engine. */
    void dispatched() {
        dispatchedAt = now();
        trace.dispatched(dispatchedAt);
        context.waitQueues().dispatched(request.service(), deadlines.objectiveDeadline(), dispatchedAt);
    }

    /** Records the first byte of the answer. */
    void answerBegan() {
        leave();
        trace.firstByteReceived(now());
        context.waitQueues().answerBegan(request.service(), dispatchedAt, now());
    }

    private long now() {
        return context.state().time().monotonicNanos();
    }
}
