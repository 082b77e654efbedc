package org.aspenmoor.internal.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import org.aspenmoor.internal.gateway.eventloop.LongRoundTask;
import org.aspenmoor.internal.serving.ConnectionLimits;
import org.aspenmoor.internal.time.TimeSource;

/**
 * A connection of a caller: reads complete requests, one after the other, and writes their answers.
 *
 * <p>The connection continues reading while a request is served, because otherwise it would not detect that the caller
 * has disconnected. Parts of later requests are queued up to a limit, and handled in the order in which they were read.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements AnswerWriter, BufferedCaller {
    private static final char MAX_PRINTABLE_ASCII = '~';

    private static final Duration REFUSAL_RETRY_DELAY = Duration.ofSeconds(1);

    /** How long a new connection may be without a request before it counts as idle: several round trips. */
    private static final Duration FIRST_REQUEST_WAIT = Duration.ofSeconds(1);

    private final Channel channel;
    private final RequestService service;
    private final TimeSource time;
    private final LongRoundTask longRoundTask;
    private final SentBytesHandler sentBytes;
    private final PipelinedMessages pipelined;
    private final RequestBuffer requestBuffer;
    private long lastActivityNanos;
    private boolean receiving;
    private boolean serving;
    private boolean keepAlive = true;
    private boolean closing;
    private boolean closesWhenIdle;
    private boolean refusesRequests;
    private boolean requestSeen;
    private int unsentAnswers;
    private long sentBytesAtLastCheck;
    private ActiveRequest activeRequest;

    CallerConnection(
            Channel channel,
            RequestService service,
            TimeSource time,
            LongRoundTask longRoundTask,
            SentBytesHandler sentBytes) {
        this.channel = channel;
        this.service = service;
        this.time = time;
        this.longRoundTask = longRoundTask;
        this.sentBytes = sentBytes;
        this.pipelined = new PipelinedMessages(service);
        this.requestBuffer = new RequestBuffer(service);
        this.lastActivityNanos = time.monotonicNanos();
    }

    /** Records that bytes have been received, which may be the start of a request. */
    void bytesReceived() {
        if (!receiving && !serving) {
            receiving = true;
            requestSeen = true;
            lastActivityNanos = time.monotonicNanos();
        }
    }

    /** Closes the connection if it has exceeded its header or idle timeout. */
    void enforceTimeouts(long nowNanos) {
        if (serving) {
            return;
        }
        if (unsentAnswers > 0) {
            dropIfUnread(nowNanos);
            return;
        }
        if (closing) {
            return;
        }
        ConnectionLimits limits = service.connectionLimits();
        long idleNanos = nowNanos - lastActivityNanos;
        if (receiving && idleNanos > limits.headerTimeout().toNanos() && !requestBuffer.begun()) {
            refuse(
                    HttpResponseStatus.REQUEST_TIMEOUT,
                    "The request's head was not received within the header timeout.");
        } else if (idleNanos > limits.idleTimeout().toNanos()) {
            close();
        }
    }

    /**
     * Closes the connection if no request is being received or served on it, and each answer has been sent; to be called
     * repeatedly until it is closed. A request may have arrived that has not been read yet; closing its connection would
     * reset it.
     */
    void closeWhenIdle(long nowNanos) {
        closesWhenIdle = true;
        if (idle(nowNanos) && callerConnected() && idle(nowNanos)) {
            close();
        }
    }

    private boolean idle(long nowNanos) {
        boolean awaitsFirst = !requestSeen && nowNanos - lastActivityNanos < FIRST_REQUEST_WAIT.toNanos();
        return !serving && !receiving && !awaitsFirst && unsentAnswers == 0 && pipelined.isEmpty();
    }

    /** Refuses the requests on this connection, which was opened when the process was no longer ready. */
    void refuseRequests() {
        refusesRequests = true;
    }

    /** Refuses the request that is being served if it waits and cannot end before the process does. */
    void processStopping() {
        if (activeRequest != null) {
            activeRequest.processStopping();
        }
    }

    /** Answers the request that is being served, or refuses the one that is being received. */
    void processEnding() {
        if (activeRequest != null) {
            activeRequest.processEnding();
        } else if (requestBuffer.begun() && !closing) {
            closeWith(LocalAnswers.notRun("this process is stopping", REFUSAL_RETRY_DELAY));
        }
    }

    boolean serving() {
        return serving;
    }

    /** Reads what has arrived if a request is being served, and abandons the request if the caller has disconnected. */
    void detectDisconnect() {
        if (activeRequest != null && !callerConnected()) {
            disconnected();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (closing) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (!serving && pipelined.isEmpty()) {
            handle(message);
            return;
        }
        pipelined.add(message);
        if (closing) {
            // Making room for the message has dropped this caller.
            pipelined.discard();
        } else if (pipelined.isFull()) {
            channel.config().setAutoRead(false);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (activeRequest != null) {
            activeRequest.writabilityChanged();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        disconnected();
    }

    private void disconnected() {
        closing = true;
        ActiveRequest abandonedRequest = activeRequest;
        activeRequest = null;
        requestBuffer.discard();
        pipelined.discard();
        if (abandonedRequest != null) {
            abandonedRequest.callerDisconnected();
        }
    }

    @Override
    public long bufferedBytes() {
        ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
        return pending == null ? 0 : pending.totalPendingWriteBytes();
    }

    @Override
    public long sentBytes() {
        return sentBytes.sentBytes(channel.unsafe().outboundBuffer());
    }

    /** Resets the connection, so that the operating system discards its part of the bytes too. */
    @Override
    public void drop() {
        disconnected();
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    @Override
    public void sendAnswer(FullHttpResponse answer) {
        boolean keepOpen = keepAlive && !stopsAfterThisRequest();
        HttpUtil.setKeepAlive(answer, keepOpen);
        if (!keepOpen) {
            answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        finish(channel.writeAndFlush(answer), keepOpen);
    }

    @Override
    public void beginAnswer(HttpResponse answerHead) {
        keepAlive &= !stopsAfterThisRequest();
        HttpUtil.setKeepAlive(answerHead, keepAlive);
        if (!keepAlive) {
            answerHead.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        HttpUtil.setTransferEncodingChunked(answerHead, true);
        channel.write(answerHead);
    }

    @Override
    public void sendPart(ByteBuf part) {
        channel.writeAndFlush(new DefaultHttpContent(part));
    }

    @Override
    public void endAnswer() {
        // The head of a stream that began before a stop does not announce the close, so the caller may send a request.
        refusesRequests |= closesWhenIdle && pipelined.isEmpty();
        finish(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), keepAlive);
    }

    @Override
    public void abortAnswer() {
        activeRequest = null;
        close();
    }

    @Override
    public boolean callerConnected() {
        if (channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe && channel.isActive()) {
            unsafe.read();
        }
        return channel.isActive();
    }

    @Override
    public boolean writable() {
        return channel.isWritable();
    }

    /** Returns whether the process is stopping and nothing has been read behind this request. */
    private boolean stopsAfterThisRequest() {
        return service.stopping() && pipelined.isEmpty();
    }

    private void handle(Object message) {
        try {
            if (message instanceof HttpRequest request) {
                handleHead(request);
            }
            if (message instanceof HttpContent content && requestBuffer.begun()) {
                handleContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void handleHead(HttpRequest request) {
        lastActivityNanos = time.monotonicNanos();
        receiving = true;
        requestSeen = true;
        if (request.decoderResult().isFailure()) {
            refuse(HttpResponseStatus.BAD_REQUEST, "The request is not valid HTTP.");
            return;
        }
        if (!isPrintableAscii(request.uri())) {
            refuse(HttpResponseStatus.BAD_REQUEST, "The request's path has bytes that must be percent-encoded.");
            return;
        }
        if (request.headers().getAll(HttpHeaderNames.HOST).size() > 1) {
            refuse(HttpResponseStatus.BAD_REQUEST, "The request has more than one Host header.");
            return;
        }
        if (HttpUtil.getContentLength(request, 0L) > service.connectionLimits().maxBodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "The request's body is too large.");
            return;
        }
        requestBuffer.begin(request, lastActivityNanos);
        keepAlive = HttpUtil.isKeepAlive(request);
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    /** Returns whether a request target would reach a server unchanged; other bytes do not survive being encoded. */
    private static boolean isPrintableAscii(String target) {
        return target.chars().allMatch(character -> character > ' ' && character <= MAX_PRINTABLE_ASCII);
    }

    private void handleContent(HttpContent content) {
        lastActivityNanos = time.monotonicNanos();
        if (content.decoderResult().isFailure()) {
            refuse(HttpResponseStatus.BAD_REQUEST, "The request's body cannot be read.");
            return;
        }
        int byteCount = content.content().readableBytes();
        if (requestBuffer.bodyBytes() + byteCount > service.connectionLimits().maxBodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "The request's body is too large.");
            return;
        }
        if (!requestBuffer.reserve(byteCount)) {
            closeWith(LocalAnswers.notRun(
                    "the limit on request bodies held in memory has been reached", REFUSAL_RETRY_DELAY));
            return;
        }
        if (closing) {
            // Making room for the bytes has dropped this caller.
            requestBuffer.discard();
            return;
        }
        requestBuffer.add(content.content());
        if (content instanceof LastHttpContent) {
            scheduleServing();
        }
    }

    /**
     * Schedules the request to be served after all data available on the connection has been read. After a lack of
     * processor time, an entry receives requests whose callers have already disconnected. If they were served before
     * the close is read, a server would work on them although nobody waits for the answer.
     */
    private void scheduleServing() {
        IncomingRequest request = requestBuffer.complete();
        receiving = false;
        serving = true;
        channel.eventLoop().execute(() -> serve(request));
    }

    private void serve(IncomingRequest request) {
        longRoundTask.stepStarting();
        if (!channel.isActive()) {
            requestBuffer.releaseReserved();
            service.discard(request);
            return;
        }
        ActiveRequest startedRequest = refusesRequests ? service.refuse(request, this) : service.serve(request, this);
        if (serving) {
            activeRequest = startedRequest;
        }
    }

    private void finish(ChannelFuture writeFuture, boolean keepOpen) {
        activeRequest = null;
        serving = false;
        requestBuffer.releaseReserved();
        lastActivityNanos = time.monotonicNanos();
        trackUnsent(writeFuture);
        if (!keepOpen) {
            closing = true;
            writeFuture.addListener(ChannelFutureListener.CLOSE);
            return;
        }
        channel.eventLoop().execute(this::handlePipelined);
    }

    private void handlePipelined() {
        while (!serving && !closing && !pipelined.isEmpty()) {
            handle(pipelined.remove());
        }
        channel.config().setAutoRead(!pipelined.isFull());
    }

    private void refuse(HttpResponseStatus status, String message) {
        closeWith(LocalAnswers.of(status, message));
    }

    /** Answers without serving the request, and closes the connection. */
    private void closeWith(FullHttpResponse answer) {
        requestBuffer.discard();
        closing = true;
        answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        ChannelFuture writeFuture = channel.writeAndFlush(answer);
        trackUnsent(writeFuture);
        writeFuture.addListener(ChannelFutureListener.CLOSE);
    }

    /** Keeps the connection from being idle until the operating system has taken the whole answer. */
    private void trackUnsent(ChannelFuture writeFuture) {
        unsentAnswers++;
        writeFuture.addListener(sent -> {
            unsentAnswers--;
            lastActivityNanos = time.monotonicNanos();
        });
    }

    /** Drops a caller that has read nothing of its answer for the idle timeout. */
    private void dropIfUnread(long nowNanos) {
        long sent = sentBytes();
        if (sent != sentBytesAtLastCheck) {
            sentBytesAtLastCheck = sent;
            lastActivityNanos = nowNanos;
        } else if (nowNanos - lastActivityNanos
                > service.connectionLimits().idleTimeout().toNanos()) {
            drop();
        }
    }

    private void close() {
        closing = true;
        channel.close();
    }
}
