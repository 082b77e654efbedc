package org.aspenmoor.internal.store.client;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.time.Duration;
import java.util.List;
import org.aspenmoor.internal.store.StoreOutcomeUnknownException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class StoreResponseTest {
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String ENDLESS_HEADER = "X-Header: " + "x".repeat(1000) + "\r\n";

    @DataProvider
    public Object[][] wholeResponses() {
        return new Object[][] {
            {OK + "Content-Length: 2\r\n\r\n{}"},
            {"\r\n" + OK + "Content-Length: 2\r\n\r\n{}"},
            {"HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n1;a=b\r\n{\r\n1\r\n}\r\n0\r\nTrailer: 1\r\n\r\n"},
            {OK + "Via: 1.1 one\r\nVia: 1.1 two\r\nContent-Length: 2\r\n\r\n{}"},
            {"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + OK + "Content-Length: 2\r\n\r\n{}"},
        };
    }

    @Test(dataProvider = "wholeResponses")
    public void should_return_the_body_when_the_response_is_whole(String response) throws Exception {
        assertEquals(write(response), new StoreHttpResponse(200, "{}", Duration.ZERO, 0));
    }

    @DataProvider
    public Object[][] unreadableResponses() {
        return new Object[][] {
            {"HTTP/1.1 200 OHTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}"},
            {OK + "Date: HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}"},
            {OK + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}"},
            {OK + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{}"},
            {OK + "Content-Length: -1\r\n\r\n{}"},
            {OK + "Content-Length: 3\r\n\r\n{}"},
            {OK + "Transfer-Encoding: chunked\r\n\r\n1\r\n{}\r\n0\r\n\r\n"},
            {OK + "Content-Length\r\n\r\n{}"},
            {OK + "content-length:2\r\nContent-Length: 2\r\n\r\n{}"},
            {"HTTP/1.1 200 OK\nContent-Length: 2\n\n{}"},
            {"HTTP/1.1 0200 OK\r\nContent-Length: 2\r\n\r\n{}"},
            {"HTTP/1.1 +200 OK\r\nContent-Length: 2\r\n\r\n{}"},
            {"HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\n{}"},
            {"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}"},
            {"HTTP/1.1 0409 Conflict\r\nContent-Length: 2\r\n\r\n{}"},
            {"HTTP/1.1 600 Own\r\nContent-Length: 2\r\n\r\n{}"},
            {OK + "Content-Length : 2\r\n\r\n{}{}"},
            {OK + "Content-Length\t: 2\r\n\r\n{}{}"},
            {OK + "Retry After: 1\r\nContent-Length: 2\r\n\r\n{}"},
            {OK + "X-Header : 1\r\nContent-Length: 2\r\n\r\n{}"},
            {OK + "X-Header: 1\r\n X-Header: 2\r\nContent-Length: 2\r\n\r\n{}"},
            {OK + ENDLESS_HEADER.repeat(100)},
            {OK + "Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n" + "x".repeat(40_000_000)},
        };
    }

    @Test(dataProvider = "unreadableResponses")
    // Guards against a write that counts as applied though its response is not one whole response.
    public void should_throw_outcome_unknown_when_the_response_is_not_one_whole_response(String response) {
        assertThrows(StoreOutcomeUnknownException.class, () -> write(response));
    }

    private static StoreHttpResponse write(String response) throws Exception {
        try (StutteringServer server = new StutteringServer(List.of(response), new byte[0])) {
            return transport().write("PUT", server.address().resolve("/objects/own"), "{}");
        }
    }

    private static StoreTransport transport() {
        return new StoreTransport(StoreSettings.defaults(), StoreGeneration.none());
    }
}
