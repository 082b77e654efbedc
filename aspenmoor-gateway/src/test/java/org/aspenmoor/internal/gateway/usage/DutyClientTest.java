package org.aspenmoor.internal.gateway.usage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.aspenmoor.internal.gateway.standin.HttpText;
import org.aspenmoor.internal.gateway.standin.Latches;
import org.aspenmoor.internal.gateway.standin.ScriptedBackend;
import org.aspenmoor.internal.gateway.standin.ScriptedBackend.Reply;
import org.aspenmoor.internal.gateway.standin.TestProtocols;
import org.aspenmoor.internal.usage.UsageReceiver;
import org.aspenmoor.internal.usage.UsageReport;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class DutyClientTest {
    private static final UsageReport REPORT = new UsageReport(7, new TreeMap<>(Map.of("house", 3L)));
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private NioEventLoopGroup group;

    @BeforeMethod
    public void start() {
        group = new NioEventLoopGroup(1);
    }

    @AfterMethod
    public void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    @Test
    public void should_report_accepted_when_the_receiver_answers_with_success() throws Exception {
        try (ScriptedBackend receiver = receiver("HTTP/1.1 200 OK")) {
            assertEquals(client(receiver.port()).send(REPORT, 12, TIMEOUT), new UsageReceiver.Result.Accepted());

            assertEquals(receiver.received().getFirst().line(), "POST /usage/7/entry-1/12 HTTP/1.1");
            assertEquals(receiver.received().getFirst().body(), "{house=3}");
        }
    }

    @Test
    public void should_report_failure_with_the_status_when_the_receiver_refuses() throws Exception {
        try (ScriptedBackend receiver = receiver("HTTP/1.1 429 Too Many Requests")) {
            assertEquals(
                    client(receiver.port()).send(REPORT, 12, TIMEOUT), new UsageReceiver.Result.Failed("status 429"));
        }
    }

    // The receiver takes the report and its answer is lost. It must count as not accepted, so that it is sent again.
    @Test
    public void should_report_failure_when_the_connection_closes_without_an_answer() throws Exception {
        try (ScriptedBackend receiver = new ScriptedBackend(request -> Reply.thenClose(""))) {
            assertTrue(client(receiver.port()).send(REPORT, 12, TIMEOUT) instanceof UsageReceiver.Result.Failed);
        }
    }

    // A call that is held up must not arrive after the lease of its sender has expired, so its connection is reset.
    @Test
    public void should_withdraw_the_call_when_there_is_no_answer_in_time() throws Exception {
        CountDownLatch testOver = new CountDownLatch(1);
        try (ScriptedBackend receiver = new ScriptedBackend(request -> {
            Latches.await(testOver);
            return Reply.of(HttpText.head("HTTP/1.1 200 OK", "Content-Length: 100000") + "x".repeat(100_000));
        })) {
            UsageReceiver.Result result = client(receiver.port()).send(REPORT, 12, Duration.ofMillis(50));
            testOver.countDown();

            assertTrue(result instanceof UsageReceiver.Result.Failed);
            receiver.awaitClose();
        }
    }

    @Test
    public void should_report_failure_when_nobody_listens() throws Exception {
        int port;
        try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = closed.getLocalPort();
        }

        assertTrue(client(port).send(REPORT, 12, TIMEOUT) instanceof UsageReceiver.Result.Failed);
    }

    @Test
    // Guards against a refused report that counts as accepted, because an earlier answer was sent twice.
    public void should_report_failure_when_an_earlier_answer_is_repeated() throws Exception {
        String success = HttpText.head("HTTP/1.1 200 OK", "Content-Length: 0");
        String refusal = HttpText.head("HTTP/1.1 429 Too Many Requests", "Content-Length: 0");
        for (int cut = 1; cut <= success.length(); cut++) {
            String repeated = success.substring(0, cut);
            AtomicInteger calls = new AtomicInteger();
            try (ScriptedBackend receiver = new ScriptedBackend(
                    request -> Reply.of(calls.incrementAndGet() == 1 ? success + repeated : refusal))) {
                DutyClient client = client(receiver.port());
                client.send(REPORT, 12, TIMEOUT);

                assertEquals(client.send(REPORT, 12, TIMEOUT), new UsageReceiver.Result.Failed("status 429"));
            }
        }
    }

    @DataProvider
    public Object[][] malformedSuccesses() {
        return new Object[][] {
            {"HTTP/1.1 0200 OK"},
            {"HTTP/1.1 +200 OK"},
            {"HTTP/1.1 200 OK\r\nno colon"},
            {"HTTP/1.1 200 OK\r\nX Odd: v"},
            {"HTTP/1.1 200 OK\r\n folded: v"},
            {"HTTP/1.1 200 OK\r\nX\u0001: v"},
            {"HTTP/1.1 200 OK\r\nContent-Length: 1"},
        };
    }

    // Guards against a report that counts as accepted though the receiver has not answered with a success.
    @Test(dataProvider = "malformedSuccesses")
    public void should_report_failure_when_the_head_of_a_success_is_malformed(String head) throws Exception {
        try (ScriptedBackend receiver = receiver(head)) {
            assertTrue(client(receiver.port()).send(REPORT, 12, TIMEOUT) instanceof UsageReceiver.Result.Failed);
        }
    }

    private static ScriptedBackend receiver(String statusLine) throws IOException {
        return new ScriptedBackend(request -> Reply.of(HttpText.head(statusLine, "Content-Length: 0")));
    }

    private DutyClient client(int port) {
        return new DutyClient(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                new TestProtocols(),
                "entry-1",
                group.next());
    }
}
