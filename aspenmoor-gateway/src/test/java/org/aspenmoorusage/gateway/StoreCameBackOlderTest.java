package org.aspenmoorusage.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import org.aspenmoor.internal.gateway.standin.HttpText;
import org.aspenmoor.internal.gateway.standin.ReceivedRequest;
import org.aspenmoor.internal.gateway.standin.ScriptedBackend.Reply;
import org.aspenmoor.internal.gateway.standin.TestCaller;
import org.aspenmoor.internal.gateway.standin.TestGateway;
import org.aspenmoor.internal.gateway.standin.TestProtocols;
import org.aspenmoor.internal.serving.RepeatRule;
import org.aspenmoor.internal.store.StoredObject;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class StoreCameBackOlderTest {
    private static final String SERVICE = "registry";

    private TestGateway gateway;

    @BeforeMethod
    public void start() throws Exception {
        gateway = new TestGateway();
        gateway.route("/read/", RepeatRule.REPEATABLE, false, 2, SERVICE);
    }

    @AfterMethod
    public void stop() throws IOException {
        gateway.close();
    }

    // Guards against servers that are dropped at once, though they live and will register again.
    @Test
    public void should_doubt_that_a_server_is_gone_which_the_store_has_lost() throws Exception {
        List<StoredObject> before = gateway.store().snapshot();
        gateway.backend("one", SERVICE, StoreCameBackOlderTest::answer);
        gateway.publish();

        gateway.store().restoreFrom(before);

        assertTrue(gateway.awaitLogged("server-doubtful").contains("\"server\":\"one\""));
    }

    // Guards against routes that vanish with the configuration that the store has lost.
    @Test
    public void should_go_on_by_the_configuration_in_force() throws Exception {
        gateway.backend("one", SERVICE, StoreCameBackOlderTest::answer);
        List<StoredObject> servers = gateway.store().snapshot();
        gateway.publish();

        gateway.store().restoreFrom(servers);
        gateway.awaitLogged("configuration-deleted");

        try (TestCaller caller = gateway.caller()) {
            caller.send(HttpText.head("GET /read/a HTTP/1.1", "Host: house.example", "Test-Id: r1"));
            assertEquals(caller.answer().line(), "HTTP/1.1 200 OK");
        }
    }

    private static Reply answer(ReceivedRequest request) {
        return Reply.of(HttpText.head(
                        "HTTP/1.1 200 OK",
                        "Test-Id: " + request.header(TestProtocols.ID).orElse(""),
                        "Test-Signed: by one",
                        "Content-Length: 2")
                + "ok");
    }
}
