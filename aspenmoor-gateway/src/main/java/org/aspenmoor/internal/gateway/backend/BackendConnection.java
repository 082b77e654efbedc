package org.aspenmoor.internal.gateway.backend;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.aspenmoor.internal.gateway.eventloop.LongRoundTask;
import org.aspenmoor.internal.gateway.protocol.AnswerMetadata;
import org.aspenmoor.internal.gateway.protocol.BackendProtocol;

/**
 * A connection to a backend server, used for one request at a time.
 *
 * <p>A faulty server may send a second answer, an answer to an earlier request, or bytes after an answer. Forwarding
 * them would disclose the content of one caller's request to another caller. An answer that names another request
 * than the current one is therefore discarded, and a connection that has received unexpected data is not reused.
 */
final class BackendConnection extends ChannelInboundHandlerAdapter {
    /** Idle timeout for servers that do not announce one; shorter than the common server default of five seconds. */
    private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(3);

    /** Subtracted from the announced idle timeout, so that the server does not close the connection during a send. */
    private static final Duration IDLE_TIMEOUT_MARGIN = Duration.ofMillis(700);

    /**
     * How many bytes in succession may be no part of the answer: a head that is not complete yet, interim answers, or an
     * answer to an earlier request.
     */
    private static final int MAX_UNUSED_BYTES = 1024 * 1024;

    /** How long no byte may arrive in the middle of an answer to another request. */
    private static final Duration MAX_PAUSE_WHILE_SKIPPING = Duration.ofMillis(500);

    private final DuplexChannel channel;
    private final BackendProtocol protocol;
    private final AnswerDecoder decoder;
    private final AnswerHeadInspector headInspector;
    private final ServerConnectionPool pool;
    private final LongRoundTask longRoundTask;
    private final ConnectionHistory history = new ConnectionHistory();
    private Exchange currentExchange;
    private int exchanges;
    private boolean skippingAnswer;
    private boolean headReceived;
    private boolean answerComplete;
    private long bodyBytes;
    private long unusedBytes;
    private boolean requestWritten;
    private boolean reusable = true;
    private Duration idleTimeout = DEFAULT_IDLE_TIMEOUT;
    private long idleSinceNanos;
    private long sentAtNanos;

    BackendConnection(
            DuplexChannel channel,
            BackendProtocol protocol,
            AnswerDecoder decoder,
            AnswerHeadInspector headInspector,
            ServerConnectionPool pool,
            LongRoundTask longRoundTask) {
        this.channel = channel;
        this.protocol = protocol;
        this.decoder = decoder;
        this.headInspector = headInspector;
        this.pool = pool;
        this.longRoundTask = longRoundTask;
    }

    void send(Exchange exchange) {
        currentExchange = exchange;
        exchanges++;
        history.add(exchange);
        decoder.setHeadRequested(exchange.request().method().equals(HttpMethod.HEAD));
        skippingAnswer = false;
        headReceived = false;
        answerComplete = false;
        bodyBytes = 0;
        unusedBytes = 0;
        requestWritten = false;
        sentAtNanos = pool.nowNanos();
        exchange.attach(this);
        channel.writeAndFlush(exchange.request()).addListener(writeResult -> {
            requestWritten = writeResult.isSuccess();
            if (!writeResult.isSuccess()) {
                fail("the request could not be written: " + writeResult.cause());
                return;
            }
            finishExchangeIfComplete();
        });
    }

    /** Returns whether the operating system has taken all bytes of the current request. */
    boolean requestWritten() {
        return requestWritten;
    }

    void setReading(boolean enabled) {
        channel.config().setAutoRead(enabled);
    }

    /**
     * Resets the connection. An orderly close would follow the bytes that the operating system still has to send; over
     * a slow link the server would receive the request after it was cancelled, and detect the close even later. The
     * reset is sent when the event loop looks for ready connections next, which a busy entry does late; ending the
     * output takes effect at once.
     */
    void abort() {
        if (channel.isActive()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.shutdownOutput();
        }
        close();
    }

    void close() {
        currentExchange = null;
        reusable = false;
        channel.close();
    }

    /** Returns whether a late answer to an earlier exchange cannot be taken for the answer to this one. */
    boolean mayCarry(Exchange exchange) {
        return history.allows(exchange);
    }

    boolean canBeReused(long nowNanos) {
        return channel.isActive() && reusable && !history.full() && nowNanos - idleSinceNanos < idleTimeout.toNanos();
    }

    /**
     * Returns whether received bytes are to be decoded; if they cannot be part of an answer, closes the connection. A
     * faulty server may send bytes without end of which the decoder makes nothing, or nothing that is used.
     */
    boolean accepts(int byteCount) {
        if (currentExchange == null) {
            report(AnswerIrregularity.UNREQUESTED_BYTES, "");
            fail("the server sent bytes on a connection without a request");
            return false;
        }
        unusedBytes += byteCount;
        if (unusedBytes > MAX_UNUSED_BYTES) {
            fail("the server sent more than " + MAX_UNUSED_BYTES + " bytes that are no part of the answer");
            return false;
        }
        return true;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            longRoundTask.stepStarting();
            if (message instanceof HttpObject part) {
                handle(part);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail("the connection failed: " + cause.getMessage());
    }

    /** Closes the connection once the server has ended its output; the decoder has ended the answer before. */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            fail("the server closed the connection");
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pool.removeClosed(this);
        fail("the connection was closed");
    }

    private void handle(HttpObject part) {
        if (currentExchange == null && !channel.isActive()) {
            return;
        }
        DecoderResult decoderResult = part.decoderResult();
        if (decoderResult.isFailure()) {
            reportInvalid(decoderResult.cause());
            fail("the server sent data that is not a valid HTTP answer");
            return;
        }
        if (currentExchange == null) {
            report(AnswerIrregularity.UNREQUESTED_BYTES, "");
            reusable = false;
            channel.close();
            return;
        }
        if (part instanceof HttpResponse head) {
            handleHead(head);
        }
        if (part instanceof HttpContent content && currentExchange != null) {
            handleContent(content);
        }
    }

    private void handleHead(HttpResponse head) {
        if (answerComplete) {
            reusable = false;
            skippingAnswer = true;
            return;
        }
        Optional<IrregularHead> irregular = headInspector.inspect(head);
        if (irregular.isPresent()) {
            refuse(irregular.get().kind(), irregular.get().excerpt(), "the head of the answer is not one head");
            return;
        }
        if (head.status().code() == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
            refuse(AnswerIrregularity.INVALID, "101", "the server switches to another protocol");
            return;
        }
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            skippingAnswer = true;
            return;
        }
        AnswerMetadata metadata = protocol.readHead(head);
        if (!belongsToCurrentExchange(metadata)) {
            skipAnswer();
            return;
        }
        if (currentExchange.hasRequestId() && metadata.requestId().isEmpty()) {
            refuse(AnswerIrregularity.NO_REQUEST_ID, "", "the answer does not name the request");
            return;
        }
        acceptHead(head, metadata);
    }

    private boolean belongsToCurrentExchange(AnswerMetadata metadata) {
        return metadata.requestId().isEmpty() || metadata.requestId().get().equals(currentExchange.requestId());
    }

    /**
     * Skips an answer to another request, and gives the exchange up if the rest of that answer does not follow. It may
     * be cut; what is then skipped as its rest is the answer that is waited for.
     */
    private void skipAnswer() {
        report(AnswerIrregularity.OTHER_REQUEST, "");
        reusable = false;
        skippingAnswer = true;
        awaitRestOfSkipped(currentExchange);
    }

    private void awaitRestOfSkipped(Exchange waiting) {
        long bytesBefore = unusedBytes;
        channel.eventLoop()
                .schedule(
                        () -> checkSkipped(waiting, bytesBefore),
                        MAX_PAUSE_WHILE_SKIPPING.toNanos(),
                        TimeUnit.NANOSECONDS);
    }

    private void checkSkipped(Exchange waiting, long bytesBefore) {
        boolean incomplete = skippingAnswer || (!headReceived && decoder.undecodedBytes() > 0);
        if (currentExchange != waiting || !incomplete) {
            return;
        }
        if (unusedBytes > bytesBefore) {
            awaitRestOfSkipped(waiting);
            return;
        }
        fail("the answer to another request has stopped before its end");
    }

    private void acceptHead(HttpResponse head, AnswerMetadata metadata) {
        headReceived = true;
        unusedBytes = 0;
        reusable &= HttpUtil.isKeepAlive(head)
                && (HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head));
        metadata.idleTimeout().ifPresent(timeout -> idleTimeout = timeout.minus(IDLE_TIMEOUT_MARGIN));
        // An answer that denies being the intended server comes from another one, which may run at the same address.
        if (head.status().code() != HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
            pool.answerReceived(currentExchange.healthCall() ? metadata.ofHealthAnswer() : metadata, sentAtNanos);
        }
        currentExchange.listener().headReceived(head, metadata);
    }

    /** Reports an irregular answer and ends the exchange; nothing of the answer has been used. */
    private void refuse(AnswerIrregularity kind, String excerpt, String reason) {
        report(kind, excerpt);
        fail(reason);
    }

    /** Reports bytes that are no answer; the end of a connection within an answer is none. */
    private void reportInvalid(Throwable cause) {
        if (!(cause instanceof PrematureChannelClosureException)) {
            report(AnswerIrregularity.INVALID, String.valueOf(cause.getMessage()));
        }
    }

    private void report(AnswerIrregularity kind, String excerpt) {
        String requestId = currentExchange == null ? "" : currentExchange.requestId();
        pool.irregularAnswerReceived(new IrregularAnswer(kind, requestId, exchanges, excerpt));
    }

    private void handleContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (skippingAnswer) {
            skip(content);
            return;
        }
        if (!headReceived) {
            return;
        }
        bodyBytes += content.content().readableBytes();
        long maxBodyBytes = currentExchange.listener().maxBodyBytes();
        if (bodyBytes > maxBodyBytes) {
            fail("the body of the answer is longer than " + maxBodyBytes + " bytes");
            return;
        }
        if (content.content().isReadable()) {
            unusedBytes = 0;
            currentExchange.listener().dataReceived(content.content());
        }
        if (last && currentExchange != null && !endedByClosedChannel()) {
            answerComplete = true;
            detectSurplusBytes();
            finishExchangeIfComplete();
        }
    }

    /** Skips a part of an answer that is not used, unless it has swallowed the answer that is waited for. */
    private void skip(HttpContent content) {
        skippingAnswer = !(content instanceof LastHttpContent);
        if (!answerComplete && headInspector.containsHead(content)) {
            fail("the answer to another request goes on with a further answer");
        }
    }

    /** The decoder keeps bytes that came with the end of the answer, and takes them for the beginning of the next. */
    private void detectSurplusBytes() {
        if (decoder.undecodedBytes() > 0) {
            report(AnswerIrregularity.UNREQUESTED_BYTES, "");
            reusable = false;
        }
    }

    /**
     * Returns whether the decoder has ended an answer without a content length only because the channel was closed. Such
     * an answer is complete if the server has ended its output, which is read while the channel is still open. Any other
     * close cuts it off: a reset that is detected by a write, for example, closes the channel without an exception.
     */
    private boolean endedByClosedChannel() {
        return !channel.isOpen();
    }

    /**
     * Ends the exchange once its answer is complete, and returns the connection to the pool if it can be reused. A
     * server may answer before it has read the complete request. Such a connection is closed, because the server
     * would treat the rest of the body as the next request.
     */
    private void finishExchangeIfComplete() {
        if (!answerComplete || currentExchange == null) {
            return;
        }
        if (!requestWritten) {
            reusable = false;
        }
        Exchange finishedExchange = currentExchange;
        currentExchange = null;
        finishedExchange.markEnded();
        idleSinceNanos = pool.nowNanos();
        if (reusable && channel.isActive()) {
            channel.config().setAutoRead(true);
            pool.returnConnection(this);
        } else {
            channel.close();
        }
        finishedExchange.listener().completed();
    }

    private void fail(String reason) {
        reusable = false;
        Exchange failedExchange = currentExchange;
        currentExchange = null;
        channel.close();
        if (failedExchange != null && !failedExchange.ended()) {
            failedExchange.markEnded();
            failedExchange.listener().failed(reason);
        }
    }
}
