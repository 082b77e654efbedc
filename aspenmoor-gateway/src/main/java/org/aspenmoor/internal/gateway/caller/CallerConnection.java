package org.aspenmoor.internal.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
import java.util.ArrayDeque;
import java.util.Deque;
import org.aspenmoor.internal.serving.ConnectionLimits;
import org.aspenmoor.internal.time.TimeSource;

/**
 * A connection of a caller: reads complete requests, one after the other, and writes their answers.
 *
 * <p>The connection continues reading while a request is served, because otherwise it would not detect that the caller
 * has disconnected. Parts of later requests are queued up to a limit.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements CallerLink {
    /** Number of queued HTTP objects of later requests beyond which reading is paused until the current request ends. */
    private static final int MOST_WAITING_PARTS = 64;

    private final Channel channel;
    private final RequestService service;
    private final TimeSource time;
    private final Deque<Object> waiting = new ArrayDeque<>();
    private HttpRequest head;
    private CompositeByteBuf body;
    private int reserved;
    private long headArrivedAt;
    private long quietSince;
    private boolean receiving;
    private boolean serving;
    private boolean keepAlive = true;
    private boolean closing;
    private ActiveRequest active;

    CallerConnection(Channel channel, RequestService service, TimeSource time) {
        this.channel = channel;
        this.service = service;
        this.time = time;
        this.quietSince = time.monotonicNanoseconds();
    }

    /** Records that bytes have been received, which may be the start of a request. */
    void bytesArrived() {
        if (!receiving && !serving) {
            receiving = true;
            quietSince = time.monotonicNanoseconds();
        }
    }

    /** Closes the connection if it has exceeded its header or idle timeout. */
    void check(long now) {
        if (serving || closing) {
            return;
        }
        ConnectionLimits limits = service.limits();
        long quiet = now - quietSince;
        if (receiving && quiet > limits.headerTimeout().toNanos() && head == null) {
            refuse(
                    HttpResponseStatus.REQUEST_TIMEOUT,
                    "The request's head was not received within the header timeout.");
        } else if (quiet > limits.idleTimeout().toNanos()) {
            close();
        }
    }

    /** Closes the connection if no request is being received or served on it. */
    void closeIfIdle() {
        if (!serving && !receiving) {
            close();
        }
    }

    boolean serving() {
        return serving;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (closing) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (serving) {
            waiting.addLast(message);
            if (waiting.size() > MOST_WAITING_PARTS) {
                channel.config().setAutoRead(false);
            }
            return;
        }
        take(message);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (active != null) {
            active.writabilityChanged();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        closing = true;
        ActiveRequest left = active;
        active = null;
        dropBody();
        while (!waiting.isEmpty()) {
            ReferenceCountUtil.release(waiting.pollFirst());
        }
        if (left != null) {
            left.callerLeft();
        }
    }

    @Override
    public void answer(FullHttpResponse answer) {
        boolean kept = keepAlive && !service.stopping();
        HttpUtil.setKeepAlive(answer, kept);
        if (!kept) {
            answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        finish(channel.writeAndFlush(answer), kept);
    }

    @Override
    public void begin(HttpResponse answerHead) {
        keepAlive &= !service.stopping();
        HttpUtil.setKeepAlive(answerHead, keepAlive);
        if (!keepAlive) {
            answerHead.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        HttpUtil.setTransferEncodingChunked(answerHead, true);
        channel.write(answerHead);
    }

    @Override
    public void part(ByteBuf part) {
        channel.writeAndFlush(new DefaultHttpContent(part));
    }

    @Override
    public void end() {
        finish(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), keepAlive);
    }

    @Override
    public void breakOff() {
        active = null;
        close();
    }

    @Override
    public boolean writable() {
        return channel.isWritable();
    }

    private void take(Object message) {
        try {
            if (message instanceof HttpRequest request) {
                takeHead(request);
            }
            if (message instanceof HttpContent content && head != null) {
                takeContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void takeHead(HttpRequest request) {
        quietSince = time.monotonicNanoseconds();
        headArrivedAt = quietSince;
        receiving = true;
        if (request.decoderResult().isFailure()) {
            refuse(HttpResponseStatus.BAD_REQUEST, "The request is not valid HTTP.");
            return;
        }
        if (request.headers().getAll(HttpHeaderNames.HOST).size() > 1) {
            refuse(HttpResponseStatus.BAD_REQUEST, "The request has more than one Host header.");
            return;
        }
        if (HttpUtil.getContentLength(request, 0L) > service.limits().mostBodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "The request's body is too large.");
            return;
        }
        head = request;
        body = Unpooled.compositeBuffer(Integer.MAX_VALUE);
        keepAlive = HttpUtil.isKeepAlive(request);
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void takeContent(HttpContent content) {
        quietSince = time.monotonicNanoseconds();
        if (content.decoderResult().isFailure()) {
            refuse(HttpResponseStatus.BAD_REQUEST, "The request's body cannot be read.");
            return;
        }
        int bytes = content.content().readableBytes();
        if (body.readableBytes() + bytes > service.limits().mostBodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "The request's body is too large.");
            return;
        }
        if (!service.reserve(bytes)) {
            dropBody();
            closing = true;
            FullHttpResponse full = LocalAnswers.notRun(
                    "the limit on request bodies held in memory has been reached", java.time.Duration.ofSeconds(1));
            full.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            channel.writeAndFlush(full).addListener(ChannelFutureListener.CLOSE);
            return;
        }
        reserved += bytes;
        body.addComponent(true, content.content().retain());
        if (content instanceof LastHttpContent) {
            start();
        }
    }

    /**
     * Schedules the request to be served after all data available on the connection has been read. After a lack of
     * processor time, an entry receives requests whose callers have already disconnected. If they were served before the
     * close is read, a server would work on them although nobody waits for the answer.
     */
    private void start() {
        IncomingRequest request = new IncomingRequest(head, body, headArrivedAt);
        head = null;
        body = null;
        receiving = false;
        serving = true;
        channel.eventLoop().execute(() -> serve(request));
    }

    private void serve(IncomingRequest request) {
        if (!channel.isActive()) {
            service.release(reserved);
            reserved = 0;
            service.drop(request);
            return;
        }
        ActiveRequest begun = service.serve(request, this);
        if (serving) {
            active = begun;
        }
    }

    private void finish(ChannelFuture written, boolean kept) {
        active = null;
        serving = false;
        service.release(reserved);
        reserved = 0;
        quietSince = time.monotonicNanoseconds();
        if (!kept) {
            closing = true;
            written.addListener(ChannelFutureListener.CLOSE);
            return;
        }
        channel.config().setAutoRead(true);
        channel.eventLoop().execute(this::takeWaiting);
    }

    private void takeWaiting() {
        while (!serving && !closing && !waiting.isEmpty()) {
            take(waiting.pollFirst());
        }
    }

    private void refuse(HttpResponseStatus status, String sentence) {
        dropBody();
        closing = true;
        FullHttpResponse answer = LocalAnswers.of(status, sentence);
        answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        channel.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
    }

    private void dropBody() {
        head = null;
        if (body != null) {
            body.release();
            body = null;
        }
        service.release(reserved);
        reserved = 0;
    }

    private void close() {
        closing = true;
        channel.close();
    }
}
