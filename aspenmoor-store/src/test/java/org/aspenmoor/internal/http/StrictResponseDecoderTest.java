package org.aspenmoor.internal.http;

import static org.testng.Assert.assertEquals;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class StrictResponseDecoderTest {
    private static final int MAX_BODY_BYTES = 1000;
    private static final String INVALID = "invalid";
    private static final String OK = "HTTP/1.1 200 OK\r\n";

    @DataProvider
    public Object[][] foldedHeads() {
        return new Object[][] {
            {OK + " X-Odd: v\r\nContent-Length: 2\r\n\r\n{}"},
            {OK + "\tX-Odd: v\r\nContent-Length: 2\r\n\r\n{}"},
            {OK + "Server: standin\r\n X-Odd: v\r\nContent-Length: 2\r\n\r\n{}"},
            {OK + "Server: standin\r\n\tX-Odd: v\r\nContent-Length: 2\r\n\r\n{}"},
            {OK + "Content-Length: 2\r\nServer: standin\r\n goes on\r\n\r\n{}"},
            {OK + "Content-Length: 2\r\nServer: standin\r\n \r\n\r\n{}"},
            {OK + "Content-Length: 0\r\nServer: standin\r\n Content-Length: 2\r\n\r\n"},
            {OK + "Transfer-Encoding: chunked\r\nServer: standin\r\n X-Odd: v\r\n\r\n2\r\n{}\r\n0\r\n\r\n"},
        };
    }

    // Guards against a header that is a part of the value of another one, because its line begins with a blank.
    @Test(dataProvider = "foldedHeads")
    public void should_refuse_head_when_a_line_begins_with_a_blank(String response) {
        assertEquals(decode(response, response.length()), List.of(INVALID));
    }

    // Guards against the same where the bytes arrive one by one, so that the line end and the blank come apart.
    @Test(dataProvider = "foldedHeads")
    public void should_refuse_head_when_its_bytes_arrive_one_by_one(String response) {
        assertEquals(decode(response, 1), List.of(INVALID));
    }

    @DataProvider
    public Object[][] bodiesWithBlanks() {
        return new Object[][] {
            {OK + "Content-Length: 7\r\n\r\n a\n b\n\t", " a\n b\n\t"},
            {OK + "Server:  standin \r\nContent-Length: 7\r\n\r\n\t\n \n \n ", "\t\n \n \n "},
            {OK + "Transfer-Encoding: chunked\r\n\r\n3\r\n\n b\r\n2\r\n c\r\n0\r\nX: y\r\n\r\n", "\n b c"},
            {"\r\n" + OK + "Content-Length: 2\r\n\r\n\n ", "\n "},
            {"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + OK + "Content-Length: 2\r\n\r\n\n ", ", \n "},
        };
    }

    // Guards against intact responses that are refused, because a line of their body begins with a blank.
    @Test(dataProvider = "bodiesWithBlanks")
    public void should_return_body_when_its_lines_begin_with_blanks(String response, String body) {
        assertEquals(String.join(", ", decode(response, response.length())), body);
        assertEquals(String.join(", ", decode(response, 1)), body);
    }

    // Guards against a check that knows only the first head of a connection, and against one that does not know where
    // the body before it has ended.
    @Test
    public void should_refuse_only_the_folded_head_when_others_precede_it() {
        String intact = OK + "Content-Length: 3\r\n\r\n{}\n";
        String chunked = OK + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n";
        String folded = OK + "Server: standin\r\n X-Odd: v\r\nContent-Length: 2\r\n\r\n{}";
        String responses = intact + chunked + intact + folded;

        assertEquals(decode(responses, responses.length()), List.of("{}\n", "{}", "{}\n", INVALID));
        assertEquals(decode(responses, 1), List.of("{}\n", "{}", "{}\n", INVALID));
    }

    /** Returns the bodies of the responses that are read from the bytes, which arrive in parts of the given length. */
    private static List<String> decode(String bytes, int partLength) {
        EmbeddedChannel channel = new EmbeddedChannel(
                new StrictResponseDecoder(new HttpDecoderConfig()), new HttpObjectAggregator(MAX_BODY_BYTES));
        for (int start = 0; start < bytes.length(); start += partLength) {
            String part = bytes.substring(start, Math.min(bytes.length(), start + partLength));
            channel.writeInbound(Unpooled.copiedBuffer(part, StandardCharsets.US_ASCII));
        }
        List<String> bodies = new ArrayList<>();
        for (FullHttpResponse next = channel.readInbound(); next != null; next = channel.readInbound()) {
            bodies.add(
                    next.decoderResult().isFailure() ? INVALID : next.content().toString(StandardCharsets.US_ASCII));
            next.release();
        }
        channel.finishAndReleaseAll();
        return bodies;
    }
}
