package org.aspenmoor.internal.gateway;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** The metrics and the state of an entry as HTTP answers. */
final class AdministrationPages {
    private final PrometheusRegistry registry;
    private final StateDump stateDump;

    AdministrationPages(PrometheusRegistry registry, StateDump stateDump) {
        this.registry = registry;
        this.stateDump = stateDump;
    }

    FullHttpResponse state() {
        byte[] text = stateDump.create().toPrettyString().getBytes(StandardCharsets.UTF_8);
        return answerWith(text, "application/json");
    }

    FullHttpResponse metrics() {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            new PrometheusTextFormatWriter(false).write(text, registry.scrape());
        } catch (IOException cause) {
            throw new UncheckedIOException("Writing the metrics to memory failed.", cause);
        }
        return answerWith(text.toByteArray(), PrometheusTextFormatWriter.CONTENT_TYPE);
    }

    private static FullHttpResponse answerWith(byte[] body, String contentType) {
        FullHttpResponse answer =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(body));
        answer.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        answer.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        return answer;
    }
}
