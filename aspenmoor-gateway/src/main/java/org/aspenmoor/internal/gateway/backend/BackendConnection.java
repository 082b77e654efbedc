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
 * One connection to one backend server; carries one request at a time.
 *
 * <p>A faulty server may send a second answer, an answer to an earlier request, or bytes after an answer. Handed to the
 * caller of the next request they would be somebody else's draft. So an answer must name the request that is out, and a
 * connection on which anything comes unasked is not used again.
 */
final class BackendConnection extends ChannelInboundHandlerAdapter {
    /** Used where a server does not say how long it keeps idle connections; below the usual five seconds. */
    private static final Duration USUAL_IDLE_LIMIT = Duration.ofSeconds(3);

    /** Taken off a server's own limit, so that it does not close just as the next request is on its way. */
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
            breakOff("the server sent bytes that are no answer");
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
        // The decoder also ends an answer without a length when the connection is reset; that one is not complete.
        if (last && current != null && !failed) {
            answerComplete = true;
            giveBackIfDone();
        }
    }

    /**
     * A server may answer before it has read the whole request. The connection goes back only when both are done, since
     * the rest of a body would otherwise be taken for the next request.
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
