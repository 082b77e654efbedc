package org.aspenmoor.internal.store.client;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.ProtocolException;
import org.aspenmoor.internal.http.JoinedHeads;

/** Passes the answer on only if its head is one head; leaves out interim answers. */
final class StoreHeadHandler extends ChannelInboundHandlerAdapter {
    private boolean skipping;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws ProtocolException {
        if (message instanceof HttpResponse head) {
            skipping = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            requireOneHead(head);
        }
        if (skipping && message instanceof HttpObject) {
            ReferenceCountUtil.release(message);
            skipping = !(message instanceof LastHttpContent);
            return;
        }
        context.fireChannelRead(message);
    }

    private static void requireOneHead(HttpResponse head) throws ProtocolException {
        if (JoinedHeads.find(head).isPresent()) {
            throw new ProtocolException("the head contains a second status line");
        }
        if (HttpUtil.isTransferEncodingChunked(head) && HttpUtil.isContentLengthSet(head)) {
            throw new ProtocolException("the body has a length and is encoded");
        }
    }
}
