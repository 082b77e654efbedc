package org.aspenmoor.internal.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;

/**
 * Decodes HTTP/1 responses, and refuses malformed heads that {@link HttpResponseDecoder} repairs. What has been repaired
 * cannot be told from an intact head: the status code {@code 0200}, for example, is read as 200, and a name that contains
 * a blank ends before it. A refused head has a decoder result that is a failure.
 */
public class StrictResponseDecoder extends HttpResponseDecoder {
    private static final int STATUS_CODE_DIGITS = 3;
    private static final char MIN_FIRST_DIGIT = '1';
    private static final char MAX_FIRST_DIGIT = '5';
    private static final char NAME_END = ':';

    /** Creates a decoder. */
    public StrictResponseDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /** Returns the status code as it was received. */
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
