package org.aspenmoor.internal.gateway.backend;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.aspenmoor.internal.gateway.standin.HttpText;
import org.aspenmoor.internal.gateway.standin.ManualBackend;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Answers whose head is malformed, and that a lenient decoder would repair. */
public class MalformedHeadTest {
    private static final String BODY = "all of the body of this answer is given.";
    private static final Duration TIME_LIMIT = Duration.ofSeconds(60);

    private BackendFixture fixture;

    @BeforeMethod
    public void start() throws IOException {
        fixture = new BackendFixture();
    }

    @AfterMethod
    public void stop() throws IOException {
        fixture.close();
    }

    @DataProvider
    public Object[][] invalidStatusCodes() {
        return new Object[][] {
            {"000"},
            {"001"},
            {"042"},
            {"099"},
            {"0"},
            {"2"},
            {"20"},
            {"0200"},
            {"+200"},
            {"-200"},
            {"2000"},
            {"1000"},
            {"600"},
            {"700"},
            {"999"},
            {"2OO"},
            {"20\u0660"},
            {"200HTTP/1.1"},
            {"200:"},
            {""}
        };
    }

    // Guards against callers who get a number that is no status code, or a success that the server has not answered.
    @Test(dataProvider = "invalidStatusCodes")
    public void should_fail_answer_when_the_status_code_is_not_valid(String statusCode) throws Exception {
        assertRefused(answer("HTTP/1.1 " + statusCode + " OK"));
    }

    // Guards against an unhealthy server that counts as healthy, and against a report or an order with such a status.
    @Test(dataProvider = "invalidStatusCodes")
    public void should_fail_call_when_the_status_code_is_not_valid(String statusCode) throws Exception {
        RecordingExchangeListener listener = new RecordingExchangeListener();
        fixture.call(TIME_LIMIT, listener);

        answerOnce("HTTP/1.1 " + statusCode + " OK\r\nContent-Length: 0\r\n\r\n", listener);

        assertTrue(listener.awaitEnd().startsWith("failed: "), listener.awaitEnd());
        assertEquals(listener.status(), 0);
    }

    @DataProvider
    public Object[][] validStatusLines() {
        return new Object[][] {
            {"HTTP/1.1 200 OK", 200},
            {"HTTP/1.1 200", 200},
            {"HTTP/1.1 200 ", 200},
            {"HTTP/1.0 404 Not Found", 404},
            {"HTTP/1.1 599 Own", 599},
            {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 500 Failure", 500},
        };
    }

    // Guards against a check that refuses answers of intact servers.
    @Test(dataProvider = "validStatusLines")
    public void should_complete_answer_when_the_status_code_is_valid(String statusLine, int expected) throws Exception {
        RecordingExchangeListener listener = new RecordingExchangeListener();
        fixture.send(0, listener);

        answerOnce(answer(statusLine), listener);

        assertEquals(listener.awaitEnd(), RecordingExchangeListener.COMPLETED);
        assertEquals(listener.status(), expected);
        assertEquals(listener.body(), BODY);
    }

    @DataProvider
    public Object[][] malformedNames() {
        return new Object[][] {
            {"X Odd: v"},
            {"X\tOdd: v"},
            {"X-Odd : v"},
            {"X-Odd\t: v"},
            {"X-Odd \t : v"},
            {"Content Length: 9"},
            {"Content-Length : 9"},
            {"Content-Length\t: 9"},
            {"Content-Length : 40"},
            {"Transfer-Encoding : chunked"},
            {"Connection : close"},
            {"Test-Id : r1"},
            {"Test Signed: by one"},
            {"Test-Not-Run : 1"},
            {"X\u0000: v"},
            {"X\u0001: v"},
            {"X\u000b: v"},
            {"X\u000c: v"},
            {"X\u001f: v"},
            {"X\u007f: v"},
            {"X\u00a0: v"},
            {"X;: v"},
            {"X\": v"},
            {"X(: v"},
            {": v"},
            {"X-Odd"},
            {"X-Odd: \u0001"},
            {" X-Odd: v"},
            {"\tX-Odd: v"},
            {"X-Odd: v\r\n goes on"}
        };
    }

    // Guards against callers who get a header that the server has not sent, or a body cut to a length that is none,
    // because a name that contains a blank has been cut at the blank.
    @Test(dataProvider = "malformedNames")
    public void should_fail_answer_when_the_name_of_a_header_is_malformed(String line) throws Exception {
        assertRefused(answer("HTTP/1.1 200 OK\r\n" + line));
    }

    // Guards against the same where no other line tells the length, so that the malformed one would.
    @Test(dataProvider = "malformedNames")
    public void should_fail_answer_without_length_when_the_name_of_a_header_is_malformed(String line) throws Exception {
        String head = BackendFixture.HEAD_WITHOUT_LENGTH;

        assertRefused(head.substring(0, head.length() - 2) + line + "\r\n\r\n" + BODY);
    }

    // Guards against a trailer that is read as another one than the server has sent.
    @Test
    public void should_fail_answer_when_the_name_of_a_trailer_is_malformed() throws Exception {
        RecordingExchangeListener listener = new RecordingExchangeListener();
        fixture.send(0, listener);
        String head = BackendFixture.HEAD_WITHOUT_LENGTH.replace("\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n");

        answerOnce(head + HttpText.chunk("all") + "0\r\nX Odd: v\r\n\r\n", listener);

        assertTrue(listener.awaitEnd().startsWith("failed: "), listener.awaitEnd());
    }

    private void assertRefused(String answer) throws Exception {
        RecordingExchangeListener listener = new RecordingExchangeListener();
        fixture.send(0, listener);

        answerOnce(answer, listener);

        assertTrue(listener.awaitEnd().startsWith("failed: "), listener.awaitEnd());
        assertEquals(listener.status(), 0);
        assertEquals(fixture.irregularities(), List.of(AnswerIrregularity.INVALID));
    }

    /** Answers the next request with the given bytes and nothing more, and waits for the end of the exchange. */
    private void answerOnce(String answer, RecordingExchangeListener listener) throws Exception {
        try (ManualBackend.Connection connection = fixture.backend().accept()) {
            connection.readHead();
            connection.write(answer);
            connection.endOutput();
            listener.awaitEnd();
        }
    }

    private static String answer(String statusLine) {
        return HttpText.head(
                        statusLine,
                        "Server: standin",
                        "Test-Id: " + BackendFixture.REQUEST_ID,
                        "Test-Signed: by one",
                        "Content-Length: " + BODY.length())
                + BODY;
    }
}
