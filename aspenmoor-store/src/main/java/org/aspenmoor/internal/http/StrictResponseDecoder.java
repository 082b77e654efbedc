package org.aspenmoor.internal.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Decodes HTTP/1 responses, and refuses malformed heads that {@link HttpResponseDecoder} repairs. What has been repaired
 * cannot be told from an intact head: the status code {@code 0200}, for example, is read as 200, and a name that contains
 * a blank ends before it. A refused head has a decoder result that is a failure.
 *
 * <p>A line that begins with a blank may be the rest of the value before it, an obsolete form that no current server
 * sends, or a header with a malformed name. The decoder joins it to the value; since neither can be ruled out, such a
 * head is refused, too.
 */
public class StrictResponseDecoder extends HttpResponseDecoder {
    private static final int STATUS_CODE_DIGITS = 3;
    private static final char MIN_FIRST_DIGIT = '1';
    private static final char MAX_FIRST_DIGIT = '5';
    private static final char NAME_END = ':';

    private final FoldedLineFinder foldedLines = new FoldedLineFinder();
    private boolean readingHead = true;
    private boolean headRefused;

    /** Creates a decoder. */
    public StrictResponseDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /** Decodes one part of a message; discards what follows a head with a folded line. */
    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> output) throws Exception {
        if (headRefused) {
            input.skipBytes(input.readableBytes());
            return;
        }
        int start = input.readerIndex();
        int decodedBefore = output.size();
        super.decode(context, input, output);
        if (!readingHead) {
            readingHead = output.size() > decodedBefore && output.getLast() instanceof LastHttpContent;
            return;
        }
        // One step never consumes bytes of a head together with those of its body.
        input.forEachByte(start, input.readerIndex() - start, foldedLines);
        if (output.size() > decodedBefore) {
            headDecoded(output.subList(decodedBefore, output.size()));
        }
    }

    /** Returns the status code as it was received, before it becomes a number. */
    @Override
    protected String splitSecondWordInitialLine(byte[] line, int start, int length) {
        if (!isStatusCode(line, start, length)) {
            String received = new String(line, start, length, StandardCharsets.US_ASCII);
            throw new IllegalArgumentException("the status code is not a number from 100 to 599: " + received);
        }
        return super.splitSecondWordInitialLine(line, start, length);
    }

    /** Returns the name of a header or trailer; the decoder ends it at the first blank or colon. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != NAME_END) {
            String beginning = new String(line, start, length, StandardCharsets.US_ASCII);
            throw new IllegalArgumentException("the name of a header contains a blank: " + beginning);
        }
        return super.splitHeaderName(line, start, length);
    }

    /** Ends a head; if it has no body, the end of the message is the second of the decoded parts. */
    private void headDecoded(List<Object> parts) {
        if (foldedLines.found()) {
            headRefused = true;
            ((HttpResponse) parts.getFirst())
                    .setDecoderResult(DecoderResult.failure(
                            new IllegalArgumentException("a line of the head begins with a blank")));
            parts.subList(1, parts.size()).clear();
            return;
        }
        readingHead = parts.getLast() instanceof LastHttpContent;
        foldedLines.reset();
    }

    private static boolean isStatusCode(byte[] line, int start, int length) {
        return length == STATUS_CODE_DIGITS
                && line[start] >= MIN_FIRST_DIGIT
                && line[start] <= MAX_FIRST_DIGIT
                && isDigit(line[start + 1])
                && isDigit(line[start + 2]);
    }

    private static boolean isDigit(byte character) {
        return character >= '0' && character <= '9';
    }
}
