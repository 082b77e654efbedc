package org.aspenmoor.internal.http;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.aspenmoor.Outcome;
import org.aspenmoor.RefusalReason;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.duty.Worker;
import org.aspenmoor.internal.entry.CallerSink;
import org.aspenmoor.internal.entry.CallerWork;
import org.aspenmoor.internal.entry.EntryMessage;
import org.aspenmoor.internal.entry.IncomingRequest;
import ratpack.handling.Context;

/** Submits callers' requests to the event loop and notifies it when a caller disconnects. */
final class RequestSubmitter {
    private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
    private static final String BEARER_PREFIX = "Bearer ";
    private static final Duration FULL_RING_RETRY_AFTER = Duration.ofMillis(500);

    private final Worker<EntryMessage> eventLoop;
    private final RandomGenerator random;

    RequestSubmitter(Worker<EntryMessage> eventLoop, RandomGenerator random) {
        this.eventLoop = eventLoop;
        this.random = random;
    }

    RequestId newRequestId() {
        synchronized (random) {
            return RequestId.draw(random);
        }
    }

    /** Submits a request; it is refused at once if the event loop's ring buffer is full. */
    void submit(Context context, RequestId id, CallerWork work, CallerSink sink) {
        Optional<String> key =
                Optional.ofNullable(context.getRequest().getHeaders().get(IDEMPOTENCY_KEY_HEADER));
        IncomingRequest request = new IncomingRequest(id, bearerToken(context), work, key, sink);
        if (!eventLoop.offer(new EntryMessage.RequestCame(request))) {
            sink.onRefused(new Outcome.NotRun(
                    RefusalReason.OVERLOADED, FULL_RING_RETRY_AFTER, "The entry's message queue is full."));
            return;
        }
        notifyWhenClosed(context, id);
    }

    // A persistent connection serves many requests. Each listener is removed after its answer; otherwise all of them
    // would be retained until the connection closes and would then each report a disconnected caller.
    private void notifyWhenClosed(Context context, RequestId id) {
        ChannelFuture closed = context.getDirectChannelAccess().getChannel().closeFuture();
        ChannelFutureListener listener = future -> eventLoop.put(new EntryMessage.CallerGone(id));
        closed.addListener(listener);
        context.onClose(answered -> closed.removeListener(listener));
    }

    void reportConsumption(RequestId id) {
        eventLoop.offer(new EntryMessage.CallerTook(id));
    }

    /** Returns the caller's bearer token; an empty string if it sent none. */
    static String bearerToken(Context context) {
        String header = context.getRequest().getHeaders().get("Authorization");
        if (header == null || !header.startsWith(BEARER_PREFIX)) {
            return "";
        }
        return header.substring(BEARER_PREFIX.length()).strip();
    }
}
