package org.aspenmoor.internal.gateway.backend;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.http.JoinedHeads;

/**
 * Finds heads that are not the head of one answer.
 *
 * <p>What a server has cut off of one answer stands in front of the next answer on the same connection. If the cut is
 * within the status line or a header, the decoder reads on to the next line end, and what results has the status of the
 * first answer and the request id, the signature and the length of the second. The status line of the second answer is
 * then a part of the version, the reason phrase or the value of a header.
 */
final class AnswerHeadInspector {
    private final List<AsciiString> decidingHeaders;

    /**
     * Creates an inspector.
     *
     * @param decidingHeaders the names of the headers that decide what an answer means, which an intact head has once at
     *     most
     */
    AnswerHeadInspector(List<String> decidingHeaders) {
        this.decidingHeaders = decidingHeaders.stream().map(AsciiString::cached).toList();
    }

    /** Returns what shows that this is not the head of one answer; empty if nothing does. */
    Optional<IrregularHead> inspect(HttpResponse head) {
        if (!knownVersion(head.protocolVersion())) {
            return Optional.of(joined(head.protocolVersion().text()));
        }
        return JoinedHeads.find(head).map(AnswerHeadInspector::joined).or(() -> inspectDecidingHeaders(head.headers()));
    }

    /** Returns whether a part of a body, or its trailers, contains the head of a further answer or the rest of one. */
    boolean containsHead(HttpContent content) {
        if (JoinedHeads.containsStatusLine(content.content().toString(StandardCharsets.US_ASCII))) {
            return true;
        }
        return content instanceof LastHttpContent last
                && (JoinedHeads.find(last.trailingHeaders()).isPresent()
                        || decidingHeaders.stream()
                                .anyMatch(name -> last.trailingHeaders().contains(name)));
    }

    private static boolean knownVersion(HttpVersion version) {
        return version.equals(HttpVersion.HTTP_1_1) || version.equals(HttpVersion.HTTP_1_0);
    }

    private Optional<IrregularHead> inspectDecidingHeaders(HttpHeaders headers) {
        for (AsciiString name : decidingHeaders) {
            if (hasSeveralValues(headers, name)) {
                String values = String.join(", ", headers.getAll(name));
                return Optional.of(new IrregularHead(AnswerIrregularity.SEVERAL_VALUES, name + ": " + values));
            }
        }
        return Optional.empty();
    }

    private static boolean hasSeveralValues(HttpHeaders headers, AsciiString name) {
        Iterator<? extends CharSequence> values = headers.valueCharSequenceIterator(name);
        if (!values.hasNext()) {
            return false;
        }
        values.next();
        return values.hasNext();
    }

    private static IrregularHead joined(String text) {
        return new IrregularHead(AnswerIrregularity.JOINED_HEADS, text);
    }
}
