package org.aspenmoor.internal.http;

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

/** Hands callers' requests to the desk and tells it when a caller goes away. */
final class RequestGate {
    private static final String KEY_HEADER = "Idempotency-Key";
    private static final String BEARER = "Bearer ";
    private static final Duration FULL_RING_COME_BACK = Duration.ofMillis(500);

    private final Duty<EntryMessage> desk;
    private final RandomGenerator random;

    RequestGate(Duty<EntryMessage> desk, RandomGenerator random) {
        this.desk = desk;
        this.random = random;
    }

    RequestId drawId() {
        synchronized (random) {
            return RequestId.draw(random);
        }
    }

    /** Hands a request over; where the desk's ring is full it is refused at once. */
    void submit(Context context, RequestId id, CallerWork work, CallerSink sink) {
        Optional<String> key =
                Optional.ofNullable(context.getRequest().getHeaders().get(KEY_HEADER));
        IncomingRequest request = new IncomingRequest(id, tokenOf(context), work, key, sink);
        if (!desk.offer(new EntryMessage.RequestCame(request))) {
            sink.refused(new Outcome.NotRun(
                    RefusalReason.OVERLOADED, FULL_RING_COME_BACK, "The entry has more requests than it can look at."));
            return;
        }
        // The close is also seen after a whole answer; the desk no longer knows the request then.
        context.getDirectChannelAccess()
                .getChannel()
                .closeFuture()
                .addListener(closed -> desk.put(new EntryMessage.CallerGone(id)));
    }

    void callerTook(RequestId id) {
        desk.offer(new EntryMessage.CallerTook(id));
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
