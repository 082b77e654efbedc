package org.aspenmoor.internal.gateway.backend;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import org.aspenmoor.internal.gateway.protocol.AnswerFacts;
import org.aspenmoor.internal.gateway.protocol.BackendProtocol;

/**
 * A connection to a backend server, used for one request at a time.
 *
 * <p>A faulty server may send a second answer, an answer to an earlier request, or bytes after an answer. Forwarding them
 * would disclose the content of one caller's request to another caller. An answer that names another request than the
 * current one is therefore discarded, and a connection that has received unexpected data is not reused.
 */
final class BackendConnection extends ChannelInboundHandlerAdapter {
    /** Idle timeout for servers that do not announce one; shorter than the common server default of five seconds. */
    private static final Duration USUAL_IDLE_LIMIT = Duration.ofSeconds(3);

    /** Subtracted from the announced idle timeout, so that the server does not close the connection during a send. */
    private static final Duration IDLE_MARGIN = Duration.ofMillis(700);

    private final Channel channel;
    private final BackendProtocol protocol;
    private final ServerConnections owner;
    private Exchange current;
    private boolean skipping;
    private boolean headSeen;
    private boolean answerComplete;
    private boolean requestWritten;
    private boolean reusable = true;
    private boolean failed;
    private Duration idleLimit = USUAL_IDLE_LIMIT;
    private long idleSince;

    BackendConnection(Channel channel, BackendProtocol protocol, ServerConnections owner) {
        this.channel = channel;
        this.protocol = protocol;
        this.owner = owner;
    }

    void send(Exchange exchange) {
        current = exchange;
        skipping = false;
        headSeen = false;
        answerComplete = false;
        requestWritten = false;
        exchange.connected(this);
        channel.writeAndFlush(exchange.request()).addListener(written -> {
            requestWritten = written.isSuccess();
            if (!written.isSuccess()) {
                channel.close();
                return;
            }
            giveBackIfDone();
        });
    }

    void read(boolean on) {
        channel.config().setAutoRead(on);
    }

    void close() {
        current = null;
        reusable = false;
        channel.close();
    }

    boolean usable(long now) {
        return channel.isActive() && reusable && now - idleSince < idleLimit.toNanos();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (message instanceof HttpObject part) {
                take(part);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        failed = true;
        breakOff("the connection failed: " + cause.getMessage());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        owner.closed(this);
        breakOff("the server closed the connection");
    }

    private void take(HttpObject part) {
        DecoderResult decoded = part.decoderResult();
        if (decoded.isFailure()) {
            breakOff("the server sent data that is not a valid HTTP answer");
            return;
        }
        if (current == null) {
            reusable = false;
            channel.close();
            return;
        }
        if (part instanceof HttpResponse head) {
            takeHead(head);
        }
        if (part instanceof HttpContent content && current != null) {
            takeContent(content);
        }
    }

    private void takeHead(HttpResponse head) {
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            skipping = true;
            return;
        }
        if (answerComplete) {
            reusable = false;
            skipping = true;
            return;
        }
        AnswerFacts facts = protocol.read(head);
        boolean otherRequest =
                facts.requestId().isPresent() && !facts.requestId().get().equals(current.requestId());
        skipping = otherRequest;
        if (otherRequest) {
            reusable = false;
            return;
        }
        headSeen = true;
        reusable &= HttpUtil.isKeepAlive(head)
                && (HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head));
        facts.idleLimit().ifPresent(limit -> idleLimit = limit.minus(IDLE_MARGIN));
        current.listener().head(head, facts);
    }

    private void takeContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (skipping) {
            skipping = !last;
            return;
        }
        if (!headSeen) {
            return;
        }
        if (content.content().isReadable()) {
            current.listener().data(content.content());
        }
        // When a connection is reset, the decoder also ends an answer that has no content length; it is not complete.
        if (last && current != null && !failed) {
            answerComplete = true;
            giveBackIfDone();
        }
    }

    /**
     * Ends the exchange once its answer is complete, and returns the connection to the pool if it can be reused. A server
     * may answer before it has read the complete request. Such a connection is closed, because the server would treat the
     * rest of the body as the next request.
     */
    private void giveBackIfDone() {
        if (!answerComplete || current == null) {
            return;
        }
        if (!requestWritten) {
            reusable = false;
        }
        Exchange done = current;
        current = null;
        done.finish();
        idleSince = owner.now();
        if (reusable && channel.isActive()) {
            channel.config().setAutoRead(true);
            owner.idle(this);
        } else {
            channel.close();
        }
        done.listener().complete();
    }

    private void breakOff(String reason) {
        reusable = false;
        Exchange lost = current;
        current = null;
        channel.close();
        if (lost != null && !lost.ended()) {
            lost.finish();
            lost.listener().broken(reason);
        }
    }
}
