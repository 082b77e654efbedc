package org.aspenmoor.internal.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.internal.gateway.backend.ExchangeListener;
import org.aspenmoor.internal.gateway.protocol.AnswerMetadata;
import org.aspenmoor.internal.serving.AssignedWork;
import org.aspenmoor.internal.serving.AttemptEnd;
import org.aspenmoor.internal.serving.BackendServer;

/**
 * One attempt to have a request answered by one backend server.
 *
 * <p>Answers without events are kept until they are complete, so that one that breaks off reaches nobody; events are
 * passed on as they come.
 */
final class AnswerAttempt implements ExchangeListener, WatchedAttempt {
    /** The longest answer without events that is kept; plain services answer with some kilobytes. */
    private static final int MOST_KEPT_BYTES = 8 * 1024 * 1024;

    private final ServedRequest request;
    private final BackendServer server;
    private final AssignedWork work;
    private final boolean streamed;
    private final ByteBuf kept = Unpooled.buffer();
    private final EventSplitter events = new EventSplitter();
    private HttpResponse head;
    private AnswerMetadata facts;
    private boolean begun;
    private long begunAt;
    private long heardAt;
    private boolean over;

    AnswerAttempt(ServedRequest request, BackendServer server, AssignedWork work, boolean streamed) {
        this.request = request;
        this.server = server;
        this.work = work;
        this.streamed = streamed;
    }

    @Override
    public void headReceived(HttpResponse answerHead, AnswerMetadata answerFacts) {
        head = answerHead;
        facts = answerFacts;
        request.loadReported(work, answerFacts);
        if (!streams() && !answerFacts.notExecuted()) {
            noteBegin();
        }
    }

    @Override
    public void dataReceived(ByteBuf part) {
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
    public void completed() {
        if (over) {
            return;
        }
        if (streams() && events.holdsPart()) {
            ended(new AttemptEnd.Lost(), "the stream ended within an event");
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
    public void failed(String reason) {
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
    public AssignedWork work() {
        return work;
    }

    /** Returns whether events of a stream have come, of which the caller waits for the next. */
    boolean telling() {
        return begun && streams();
    }

    /** Returns when the last event came. */
    long heardAt() {
        return heardAt;
    }

    /** Drops what is held; the exchange was cancelled. */
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

    /** Returns how long the answer has been told. */
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
                    "the server did not run it: status " + head.status().code());
            return;
        }
        if (succeeded() && !(facts.signed() && facts.requestId().isPresent())) {
            ended(new AttemptEnd.Lost(), "the answer carries no signature or no request id");
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

    /** Returns what an answer that promises no run says of the server. */
    static AttemptEnd rejection(HttpResponseStatus status) {
        return status.code() == HttpResponseStatus.MISDIRECTED_REQUEST.code()
                ? new AttemptEnd.Misdirected()
                : new AttemptEnd.NotExecuted();
    }

    /** These promise callers that a request did not run; only a server that says so itself may be believed. */
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
