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
 * One connection of a caller: reads whole requests, one after the other, and writes their answers.
 *
 * <p>It goes on reading while a request is served, since only so does it notice that the caller has left; what comes
 * early waits, within a bound.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements CallerLink {
    /** Parts of later requests that may wait behind the one being served, in HTTP objects. */
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
        this.quietSince = time.monotonicNanos();
    }

    /** Notes bytes of a request that is not complete yet. */
    void bytesArrived() {
        if (!receiving && !serving) {
            receiving = true;
            quietSince = time.monotonicNanos();
        }
    }

    /** Closes the connection where its limits say so. */
    void check(long now) {
        if (serving || closing) {
            return;
        }
        ConnectionLimits limits = service.limits();
        long quiet = now - quietSince;
        if (receiving && quiet > limits.headerTimeout().toNanos() && head == null) {
            refuse(HttpResponseStatus.REQUEST_TIMEOUT, "The request's head did not arrive in time.");
        } else if (quiet > limits.idleTimeout().toNanos()) {
            close();
        }
    }

    /** Closes the connection if no request is on it. */
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
        quietSince = time.monotonicNanos();
        headArrivedAt = quietSince;
        receiving = true;
        if (request.decoderResult().isFailure()) {
            refuse(HttpResponseStatus.BAD_REQUEST, "The request cannot be read: it is no proper HTTP.");
            return;
        }
        if (request.headers().getAll(HttpHeaderNames.HOST).size() > 1) {
            refuse(HttpResponseStatus.BAD_REQUEST, "The request names more than one host.");
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
        quietSince = time.monotonicNanos();
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
            FullHttpResponse full =
                    LocalAnswers.notRun("Too many requests are being read.", java.time.Duration.ofSeconds(1));
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
     * Serves the request once all has been read that the connection holds. An entry that was short of processor time finds
     * requests whose callers have closed long ago; served at once, before the close behind them is read, a server would
     * work on them for nobody.
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
        quietSince = time.monotonicNanos();
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
