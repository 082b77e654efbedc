package org.aspenmoor.internal.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.internal.gateway.backend.ExchangeListener;
import org.aspenmoor.internal.gateway.protocol.AnswerFacts;
import org.aspenmoor.internal.serving.AttemptEnd;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.PlacedWork;

/**
 * One attempt to get the answer to a request from one backend server.
 *
 * <p>An answer that is not an event stream is buffered until it is complete, so that a truncated answer never reaches
 * the caller. Events of a stream are forwarded as they arrive.
 */
final class AnswerAttempt implements ExchangeListener, WatchedAttempt {
    /** Maximum size of a buffered answer; answers of plain services have some kilobytes. */
    private static final int MOST_KEPT_BYTES = 8 * 1024 * 1024;

    private final ServedRequest request;
    private final BackendServer server;
    private final PlacedWork work;
    private final boolean streamed;
    private final ByteBuf kept = Unpooled.buffer();
    private final EventSplitter events = new EventSplitter();
    private HttpResponse head;
    private AnswerFacts facts;
    private boolean begun;
    private long begunAt;
    private long heardAt;
    private boolean over;

    AnswerAttempt(ServedRequest request, BackendServer server, PlacedWork work, boolean streamed) {
        this.request = request;
        this.server = server;
        this.work = work;
        this.streamed = streamed;
    }

    @Override
    public void head(HttpResponse answerHead, AnswerFacts answerFacts) {
        head = answerHead;
        facts = answerFacts;
        request.loadReported(work, answerFacts);
        if (!streams() && !answerFacts.notExecuted()) {
            noteBegin();
        }
    }

    @Override
    public void data(ByteBuf part) {
        if (streams()) {
            events.add(part);
            passEventsOn();
            return;
        }
        if (kept.readableBytes() + part.readableBytes() <= MOST_KEPT_BYTES) {
            kept.writeBytes(part, part.readerIndex(), part.readableBytes());
        }
    }

    @Override
    public void complete() {
        if (over) {
            return;
        }
        if (streams() && events.holdsPart()) {
            ended(new AttemptEnd.Lost(), "the stream ended in the middle of an event");
        } else if (streams()) {
            request.streamComplete(work, begun);
            release();
        } else {
            completeKept();
        }
    }

    @Override
    public void neverSent(String reason) {
        ended(new AttemptEnd.NeverSent(), reason);
    }

    @Override
    public void broken(String reason) {
        if (!over) {
            request.serverEnds().connectionBroke(server, work, told());
        }
        ended(new AttemptEnd.Lost(), reason);
    }

    @Override
    public boolean begun() {
        return begun;
    }

    @Override
    public PlacedWork work() {
        return work;
    }

    /** Returns whether the answer is an event stream of which at least one event has arrived. */
    boolean telling() {
        return begun && streams();
    }

    /** Returns when the last event arrived, in nanoseconds of the monotonic clock. */
    long heardAt() {
        return heardAt;
    }

    /** Ends the attempt and releases its buffers. */
    void release() {
        if (!over) {
            over = true;
            kept.release();
            events.release();
        }
    }

    private boolean streams() {
        return streamed && succeeded() && facts.signed();
    }

    private boolean succeeded() {
        return head.status().codeClass() == HttpStatusClass.SUCCESS;
    }

    private void passEventsOn() {
        for (Optional<ByteBuf> event = events.next(); event.isPresent(); event = events.next()) {
            heardAt = request.now();
            noteBegin();
            request.eventCame(head, event.get());
            if (over) {
                return;
            }
        }
    }

    /** Returns the time since the answer began; zero if it has not begun. */
    private Duration told() {
        return begun ? Duration.ofNanos(request.now() - begunAt) : Duration.ZERO;
    }

    private void noteBegin() {
        if (!begun) {
            begun = true;
            begunAt = request.now();
            request.answerBegan(work);
        }
    }

    private void completeKept() {
        if (facts.notExecuted()) {
            ended(
                    rejection(head.status()),
                    "the server did not run the request: status "
                            + head.status().code());
            return;
        }
        if (succeeded() && !(facts.signed() && facts.requestId().isPresent())) {
            ended(new AttemptEnd.Lost(), "the answer has no signature or no request id");
            return;
        }
        if (head.status().codeClass() == HttpStatusClass.SERVER_ERROR || promisesNoRun(head.status())) {
            request.failureCame(work, head, kept.copy(), facts);
            release();
            return;
        }
        request.answerComplete(work, head, kept.copy());
        release();
    }

    /** Returns how an attempt ended whose answer states that the request was not run. */
    static AttemptEnd rejection(HttpResponseStatus status) {
        return status.code() == HttpResponseStatus.MISDIRECTED_REQUEST.code()
                ? new AttemptEnd.Misdirected()
                : new AttemptEnd.NotExecuted();
    }

    /**
     * Returns whether callers take this status to mean that the request was not run. It is trusted only if the server
     * also states so explicitly.
     */
    static boolean promisesNoRun(HttpResponseStatus status) {
        return status.code() == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                || status.code() == HttpResponseStatus.TOO_MANY_REQUESTS.code()
                || status.code() == HttpResponseStatus.REQUEST_TIMEOUT.code()
                || status.code() == HttpResponseStatus.MISDIRECTED_REQUEST.code();
    }

    private void ended(AttemptEnd end, String reason) {
        if (over) {
            return;
        }
        release();
        request.attemptEnded(work, end, reason);
    }
}
