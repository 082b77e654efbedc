package org.aspenmoorusage.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.gateway.settings.DutySettings;
import org.aspenmoor.internal.gateway.standin.HttpText;
import org.aspenmoor.internal.gateway.standin.ReceivedRequest;
import org.aspenmoor.internal.gateway.standin.ScriptedBackend;
import org.aspenmoor.internal.gateway.standin.ScriptedBackend.Reply;
import org.aspenmoor.internal.gateway.standin.TestCaller;
import org.aspenmoor.internal.gateway.standin.TestGateway;
import org.aspenmoor.internal.gateway.standin.TestProtocols;
import org.aspenmoor.internal.organisation.ApiKey;
import org.aspenmoor.internal.organisation.Organisation;
import org.aspenmoor.internal.organisation.OrganisationKeys;
import org.aspenmoor.internal.serving.RetryRule;
import org.testng.annotations.Test;

public class UsageReportTest {
    private static final Duration WINDOW = Duration.ofSeconds(1);

    @Test
    public void should_report_each_request_that_ran_once_for_its_organisation() throws Exception {
        ScriptedBackend receiver =
                new ScriptedBackend(request -> Reply.of(HttpText.head("HTTP/1.1 200 OK", "Content-Length: 0")));
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), receiver.port());
        try (receiver;
                TestGateway gateway = new TestGateway(Optional.of(new DutySettings(address, true, WINDOW)))) {
            gateway.organisations(List.of(
                    new OrganisationKeys(new Organisation("house", Optional.empty()), List.of(new ApiKey("k1")))));
            gateway.route("/read/", RetryRule.REPEATABLE, false, 2, "registry");
            gateway.backend("one", "registry", UsageReportTest::answer);
            gateway.publish();
            try (TestCaller caller = gateway.caller()) {
                for (String key : List.of("k1", "k1", "unknown")) {
                    caller.send(HttpText.head(
                            "GET /read/a HTTP/1.1",
                            "Host: house.example",
                            "Test-Id: r1",
                            TestProtocols.KEY + ": " + key));
                    caller.readAnswer();
                }
            }

            long reported = 0;
            while (reported < 2) {
                ReceivedRequest report = receiver.awaitRequest();
                assertTrue(report.line().startsWith("POST /usage/"), report.line());
                assertTrue(report.body().matches("\\{(house=\\d+)?}"), report.body());
                String digits = report.body().replaceAll("\\D", "");
                reported += digits.isEmpty() ? 0 : Long.parseLong(digits);
            }
            assertEquals(reported, 2);
            assertTrue(gateway.awaitLogged("\"event\":\"usage-accepted\"").contains("window"));
            assertTrue(gateway.metrics().contains("aspenmoor_usage_windows_total{step=\"accepted\"}"));
        }
    }

    private static Reply answer(ReceivedRequest request) {
        return Reply.of(
                HttpText.head("HTTP/1.1 200 OK", "Test-Id: r1", TestProtocols.SIGNED + ": by one", "Content-Length: 2")
                        + "ok");
    }
}
