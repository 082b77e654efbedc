package org.aspenmoor.internal.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Locale;
import org.aspenmoor.internal.gateway.caller.IncomingRequest;
import org.aspenmoor.internal.serving.quarantine.RequestDigest;

/**
 * Tells which arrivals are the same request: method, host, path, the caller's credentials and body are alike.
 *
 * <p>The caller's address is left out, since no server sees it, and so is the query: a page or a random number in it
 * varies between repeats of one request.
 */
final class RequestDigests {
    private RequestDigests() {}

    static RequestDigest of(IncomingRequest incoming) {
        MessageDigest digest = algorithm();
        update(digest, incoming.head().method().name());
        update(digest, incoming.host().toLowerCase(Locale.ROOT));
        update(digest, incoming.path());
        update(digest, incoming.head().headers().get(HttpHeaderNames.AUTHORIZATION, ""));
        ByteBuf body = incoming.body();
        for (ByteBuffer part : body.nioBuffers(body.readerIndex(), body.readableBytes())) {
            digest.update(part);
        }
        return RequestDigest.of(digest.digest());
    }

    /** Adds a text with its length, so that no two lists of texts are alike. */
    private static void update(MessageDigest digest, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
        digest.update(bytes);
    }

    private static MessageDigest algorithm() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException("Every Java runtime has SHA-256.", impossible);
        }
    }
}
