package org.aspenmoor.internal.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Locale;
import org.aspenmoor.internal.digest.Sha256;
import org.aspenmoor.internal.gateway.caller.IncomingRequest;
import org.aspenmoor.internal.serving.quarantine.SuspectDigest;

/**
 * Computes a digest that is the same for all arrivals of one request: it covers method, host, path, the caller's
 * credentials and the body.
 *
 * <p>The caller's address is left out because no server sees it. The query is left out because a page or a random
 * number in it can differ each time that the caller sends the request.
 */
final class RequestDigests {
    private RequestDigests() {}

    static SuspectDigest of(IncomingRequest incoming) {
        MessageDigest digest = Sha256.create();
        update(digest, incoming.head().method().name());
        update(digest, incoming.host().toLowerCase(Locale.ROOT));
        update(digest, incoming.path());
        update(digest, incoming.head().headers().get(HttpHeaderNames.AUTHORIZATION, ""));
        ByteBuf body = incoming.body();
        for (ByteBuffer part : body.nioBuffers(body.readerIndex(), body.readableBytes())) {
            digest.update(part);
        }
        return SuspectDigest.of(digest.digest());
    }

    /** Adds a text with its length, so that different lists of texts never give the same input. */
    static void update(MessageDigest digest, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
        digest.update(bytes);
    }
}
