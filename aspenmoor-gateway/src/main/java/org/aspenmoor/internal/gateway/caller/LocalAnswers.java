package org.aspenmoor.internal.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;

/** Answers that an entry generates itself, without a backend server. */
public final class LocalAnswers {
    /** The scheme in which keys are sent, in the form that RFC 6750 defines. */
    private static final String KEY_SCHEME = "Bearer";

    private static final double MILLISECONDS_PER_SECOND = 1000.0;

    private LocalAnswers() {}

    /** Returns a plain-text answer with the message as its body. */
    public static FullHttpResponse of(HttpResponseStatus status, String message) {
        ByteBuf body = Unpooled.copiedBuffer(message + "\n", StandardCharsets.UTF_8);
        FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        answer.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        answer.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        return answer;
    }

    /** Returns the refusal of a request that has not run and will not run, with a Retry-After header in seconds. */
    public static FullHttpResponse notRun(String reason, Duration retryAfter) {
        FullHttpResponse answer =
                of(HttpResponseStatus.SERVICE_UNAVAILABLE, "The request has not run: " + reason + ".");
        String seconds = String.format(Locale.ROOT, "%.3f", retryAfter.toMillis() / MILLISECONDS_PER_SECOND);
        answer.headers().set(HttpHeaderNames.RETRY_AFTER, seconds);
        return answer;
    }

    /** Returns the refusal of a request without a valid key; the reason must not contain the key. */
    public static FullHttpResponse unauthorised(String reason) {
        FullHttpResponse answer = of(HttpResponseStatus.UNAUTHORIZED, "The request has not run: " + reason + ".");
        answer.headers().set(HttpHeaderNames.WWW_AUTHENTICATE, KEY_SCHEME);
        return answer;
    }

    /** Returns the failure of a request that may have run: 504 if its deadline has passed, otherwise 502. */
    public static FullHttpResponse outcomeUnknown(String reason, boolean deadlinePassed) {
        HttpResponseStatus status =
                deadlinePassed ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY;
        return of(status, "The request may have run: " + reason + ".");
    }
}
