package org.aspenmoor.internal.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.internal.gateway.backend.ExchangeListener;
import org.aspenmoor.internal.gateway.caller.AnswerBuffers;
import org.aspenmoor.internal.gateway.caller.CollectedAnswer;
import org.aspenmoor.internal.gateway.protocol.AnswerMetadata;
import org.aspenmoor.internal.serving.AssignedWork;
import org.aspenmoor.internal.serving.AttemptEnd;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.BackoffStatement;
import org.aspenmoor.internal.serving.SoftwareVersion;

/**
 * One attempt to get the answer to a request from one backend server.
 *
 * <p>An answer that is not an event stream is buffered until it is complete, so that nothing of it reaches the
 * caller if its connection breaks. Events of a stream are forwarded as they arrive.
 */
final class AnswerAttempt implements ExchangeListener, WatchedAttempt, CollectedAnswer {
    /** The longest answer that is buffered; answers of plain services have some kilobytes. */
    private static final int MAX_BUFFERED_BYTES = 8 * 1024 * 1024;

    /** The longest event of a stream; events have some tokens each. */
    private static final int MAX_EVENT_BYTES = 1024 * 1024;

    private final ServedRequest request;
    private final BackendServer server;
    private final AssignedWork work;
    private final ExpectedAnswer expected;
    private final AnswerBuffers buffers;
    private final CollectedBody body = new CollectedBody();
    private final EventSplitter events = new EventSplitter();
    private HttpResponse head;
    private AnswerMetadata metadata;
    private long collectedBytes;
    private boolean begun;
    private long begunAt;
    private long lastEventAt;
    private boolean finished;

    AnswerAttempt(
            ServedRequest request,
            BackendServer server,
            AssignedWork work,
            ExpectedAnswer expected,
            AnswerBuffers buffers) {
        this.request = request;
        this.server = server;
        this.work = work;
        this.expected = expected;
        this.buffers = buffers;
    }

    @Override
    public void headReceived(HttpResponse answerHead, AnswerMetadata answerMetadata) {
        head = answerHead;
        metadata = answerMetadata;
        request.loadReported(work, answerMetadata);
        if (!isStream() && !answerMetadata.notExecuted()) {
            markBegun();
        }
    }

    @Override
    public long maxBodyBytes() {
        return isStream() ? Long.MAX_VALUE : MAX_BUFFERED_BYTES;
    }

    @Override
    public void dataReceived(ByteBuf part) {
        if (isStream()) {
            events.add(part);
            forwardEvents();
            collectPartialEvent();
            return;
        }
        if (!finished && collect(body.growthFor(part.readableBytes()))) {
            body.add(part);
        }
    }

    @Override
    public void completed() {
        if (finished) {
            return;
        }
        if (isStream() && events.hasPartialEvent()) {
            endAttempt(new AttemptEnd.Lost(), "the stream ended in the middle of an event");
        } else if (isEmptyRest()) {
            request.answerComplete(work, head, takeBuffered());
        } else if (isStream()) {
            request.streamComplete(work, begun);
            release();
        } else {
            completeBuffered();
        }
    }

    @Override
    public Optional<String> refusalAfterConnect() {
        return request.refusalAfterConnect(server);
    }

    @Override
    public void withheld(String reason) {
        endAttempt(new AttemptEnd.Withheld(), reason);
    }

    @Override
    public void neverSent(String reason) {
        endAttempt(new AttemptEnd.NeverSent(), reason);
    }

    @Override
    public void failed(String reason) {
        if (!finished) {
            request.fatalCheck().connectionBroken(server, work, sinceAnswerBegan());
        }
        endAttempt(new AttemptEnd.Lost(), reason);
    }

    @Override
    public boolean begun() {
        return begun;
    }

    @Override
    public AssignedWork work() {
        return work;
    }

    @Override
    public String stallReason() {
        return begun ? "the answer stalled" : "no answer began within the stall limit";
    }

    @Override
    public long collectedBytes() {
        return collectedBytes;
    }

    @Override
    public void discard(String reason) {
        request.abandon(this, reason);
    }

    /** Returns the software version of the server. */
    SoftwareVersion softwareVersion() {
        return server.softwareVersion();
    }

    /** Returns whether the answer is an event stream of which at least one event has arrived. */
    boolean midStream() {
        return begun && isStream();
    }

    /** Returns when the last event arrived, in nanoseconds of the monotonic clock. */
    long lastEventAt() {
        return lastEventAt;
    }

    /** Ends the attempt and releases its buffers. */
    void release() {
        if (!finished) {
            finished = true;
            buffers.release(this, collectedBytes);
            body.release();
            events.release();
        }
    }

    private boolean isStream() {
        return expected != ExpectedAnswer.BUFFERED && succeeded() && metadata.signed();
    }

    /**
     * Returns whether the answer states that no event is left. Without a length it does not, because the answer of an
     * engine that crashes before its first event looks the same.
     */
    private boolean isEmptyRest() {
        boolean delimited = HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
        return isStream()
                && expected == ExpectedAnswer.REST_OF_STREAM
                && !begun
                && delimited
                && metadata.requestId().isPresent();
    }

    private boolean succeeded() {
        return head.status().codeClass() == HttpStatusClass.SUCCESS;
    }

    private void forwardEvents() {
        for (Optional<ByteBuf> event = events.next(); event.isPresent(); event = events.next()) {
            lastEventAt = request.now();
            markBegun();
            request.eventReceived(head, event.get());
            if (finished) {
                return;
            }
        }
    }

    /** Accounts for the event that is incomplete so far; a faulty server may send one without end. */
    private void collectPartialEvent() {
        if (finished) {
            return;
        }
        if (events.partialEventBytes() > MAX_EVENT_BYTES) {
            request.abandon(this, "an event of the stream is longer than " + MAX_EVENT_BYTES + " bytes");
            return;
        }
        buffers.release(this, collectedBytes);
        collectedBytes = 0;
        collect(events.partialEventBytes());
    }

    /** Accounts for bytes that are collected; returns false if the attempt has ended because there is no room. */
    private boolean collect(int byteCount) {
        boolean collected = buffers.collect(this, byteCount);
        if (finished) {
            // Making room has dropped the caller of this request.
            buffers.release(this, collected ? byteCount : 0);
            return false;
        }
        if (!collected) {
            request.abandon(this, "the limit on bytes held for callers and servers has been reached");
            return false;
        }
        collectedBytes += byteCount;
        return true;
    }

    /** Returns the time since the answer began; zero if it has not begun. */
    private Duration sinceAnswerBegan() {
        return begun ? Duration.ofNanos(request.now() - begunAt) : Duration.ZERO;
    }

    private void markBegun() {
        if (!begun) {
            begun = true;
            begunAt = request.now();
            request.answerBegan(work);
        }
    }

    private void completeBuffered() {
        if (metadata.notExecuted()) {
            endAttempt(
                    rejection(head.status(), metadata),
                    "the server did not run the request: status "
                            + head.status().code());
            return;
        }
        if (succeeded() && !(metadata.signed() && metadata.requestId().isPresent())) {
            endAttempt(new AttemptEnd.Lost(), "the answer has no signature or no request id");
            return;
        }
        if (head.status().codeClass() == HttpStatusClass.SERVER_ERROR || impliesNoRun(head.status())) {
            request.failureReceived(work, head, takeBuffered(), metadata);
            return;
        }
        request.answerComplete(work, head, takeBuffered());
    }

    /** Ends the attempt and returns the collected body, which counts as unread by the caller once it is sent. */
    private ByteBuf takeBuffered() {
        ByteBuf taken = body.take();
        release();
        return taken;
    }

    /** Returns the end of an attempt whose answer states that the server has not run the request. */
    static AttemptEnd rejection(HttpResponseStatus status, AnswerMetadata metadata) {
        if (status.code() == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
            return new AttemptEnd.Misdirected();
        }
        return metadata.backoff() instanceof BackoffStatement.Requested
                ? new AttemptEnd.TurnedAway()
                : new AttemptEnd.NotExecuted();
    }

    /**
     * Returns whether callers conclude from this status that the request was not run. An entry trusts the status only
     * if the server also states explicitly that it has not run the request.
     */
    static boolean impliesNoRun(HttpResponseStatus status) {
        return status.code() == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                || status.code() == HttpResponseStatus.TOO_MANY_REQUESTS.code()
                || status.code() == HttpResponseStatus.REQUEST_TIMEOUT.code()
                || status.code() == HttpResponseStatus.MISDIRECTED_REQUEST.code();
    }

    private void endAttempt(AttemptEnd end, String reason) {
        if (finished) {
            return;
        }
        release();
        request.attemptEnded(work, end, reason);
    }
}
