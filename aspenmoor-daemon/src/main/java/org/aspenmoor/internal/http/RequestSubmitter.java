package org.aspenmoor.internal.http;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.aspenmoor.Outcome;
import org.aspenmoor.RefusalReason;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.duty.Duty;
import org.aspenmoor.internal.entry.CallerSink;
import org.aspenmoor.internal.entry.CallerWork;
import org.aspenmoor.internal.entry.EntryMessage;
import org.aspenmoor.internal.entry.IncomingRequest;
import ratpack.handling.Context;

/** Hands callers' requests to the event loop and tells it when a caller goes away. */
final class RequestSubmitter {
    private static final String KEY_HEADER = "Idempotency-Key";
    private static final String BEARER = "Bearer ";
    private static final Duration FULL_RING_COME_BACK = Duration.ofMillis(500);

    private final Duty<EntryMessage> eventLoop;
    private final RandomGenerator random;

    RequestSubmitter(Duty<EntryMessage> eventLoop, RandomGenerator random) {
        this.eventLoop = eventLoop;
        this.random = random;
    }

    RequestId drawId() {
        synchronized (random) {
            return RequestId.draw(random);
        }
    }

    /** Hands a request over; where the event loop's ring is full it is refused at once. */
    void submit(Context context, RequestId id, CallerWork work, CallerSink sink) {
        Optional<String> key =
                Optional.ofNullable(context.getRequest().getHeaders().get(KEY_HEADER));
        IncomingRequest request = new IncomingRequest(id, tokenOf(context), work, key, sink);
        if (!eventLoop.offer(new EntryMessage.RequestCame(request))) {
            sink.onRefused(new Outcome.NotRun(
                    RefusalReason.OVERLOADED, FULL_RING_COME_BACK, "The entry has more requests than it can look at."));
            return;
        }
        tellWhenGone(context, id);
    }

    // A connection that is kept open serves many requests. Left in place, the listeners of all of them would be kept
    // until
    // it closes, and would then all tell of a caller who went away.
    private void tellWhenGone(Context context, RequestId id) {
        ChannelFuture closed = context.getDirectChannelAccess().getChannel().closeFuture();
        ChannelFutureListener listener = future -> eventLoop.put(new EntryMessage.CallerGone(id));
        closed.addListener(listener);
        context.onClose(answered -> closed.removeListener(listener));
    }

    void callerTook(RequestId id) {
        eventLoop.offer(new EntryMessage.CallerTook(id));
    }

    /** Returns the caller's token; empty where it sent none. */
    static String tokenOf(Context context) {
        String header = context.getRequest().getHeaders().get("Authorization");
        if (header == null || !header.startsWith(BEARER)) {
            return "";
        }
        return header.substring(BEARER.length()).strip();
    }
}
