package org.aspenmoor.internal.gateway.request;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.time.TimeSource;

/** The requests that wait until the list of servers is young enough to send by it. Confined to the event loop. */
public final class ServerListWait {
    /** By then a poll of the store has been answered or has failed; the caller may find an entry that knows more. */
    private static final Duration MAX_WAIT = Duration.ofSeconds(1);

    private static final long CHECK_INTERVAL_MILLISECONDS = 10;

    private final ServingState state;
    private final EventLoop eventLoop;
    private final TimeSource time;
    private final DecisionLog log;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private Future<?> check;

    /** Creates an instance for which nothing waits. */
    public ServerListWait(ServingState state, EventLoop eventLoop, TimeSource time, DecisionLog log) {
        this.state = state;
        this.eventLoop = eventLoop;
        this.time = time;
        this.log = log;
    }

    /**
     * Has a request wait.
     *
     * @param goOn called once the list is young enough; checks whether the request is still open
     * @param giveUp called instead if that takes too long; does nothing if the request is no longer open
     */
    void await(Runnable goOn, Runnable giveUp) {
        waiting.addLast(new Waiting(time.monotonicNanos(), goOn, giveUp));
        if (check == null) {
            log.notable("server-list-outdated").write();
            check = eventLoop.scheduleWithFixedDelay(
                    this::checkAll, CHECK_INTERVAL_MILLISECONDS, CHECK_INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS);
        }
    }

    private void checkAll() {
        long now = time.monotonicNanos();
        // What goes on now may wait again, but not in this round.
        for (int left = waiting.size(); left > 0; left--) {
            Waiting first = waiting.peekFirst();
            boolean reliable = state.serverListReliable();
            if (!reliable && now - first.since() < MAX_WAIT.toNanos()) {
                break;
            }
            waiting.removeFirst();
            (reliable ? first.goOn() : first.giveUp()).run();
        }
        if (waiting.isEmpty()) {
            check.cancel(false);
            check = null;
        }
    }

    private record Waiting(long since, Runnable goOn, Runnable giveUp) {}
}
