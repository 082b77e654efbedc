package org.aspenmoor.internal.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.aspenmoor.internal.gateway.caller.IncomingRequest;
import org.aspenmoor.internal.gateway.protocol.BackendProtocol;
import org.aspenmoor.internal.gateway.protocol.DispatchParameters;

/** Builds the messages that an entry forwards; method, path, status and body are unchanged. */
final class OutgoingMessage {
    private OutgoingMessage() {}

    /** Returns the request for a backend server; it shares the body with the incoming request. */
    static FullHttpRequest request(IncomingRequest incoming, BackendProtocol protocol, DispatchParameters parameters) {
        HttpRequest head = incoming.head();
        ByteBuf body = incoming.body().retainedDuplicate();
        FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(), body);
        message.headers().set(ForwardedHeaders.copy(head.headers()));
        if (body.isReadable() || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            message.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        protocol.writeHeaders(message.headers(), parameters);
        return message;
    }

    /** Returns the complete answer for the caller; takes ownership of the body. */
    static FullHttpResponse answer(HttpResponse head, ByteBuf body) {
        FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, head.status(), body);
        answer.headers().set(ForwardedHeaders.copy(head.headers()));
        answer.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        return answer;
    }
}
