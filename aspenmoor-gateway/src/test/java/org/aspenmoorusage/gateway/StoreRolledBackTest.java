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
import org.aspenmoor.internal.serving.RetryRule;
import org.aspenmoor.internal.store.StoredObject;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class StoreRolledBackTest {
    private static final String SERVICE = "registry";

    private TestGateway gateway;

    @BeforeMethod
    public void setUp() throws Exception {
        gateway = new TestGateway();
        gateway.route("/read/", RetryRule.REPEATABLE, false, 2, SERVICE);
    }

    @AfterMethod
    public void tearDown() throws IOException {
        gateway.close();
    }

    // Guards against servers that are removed at once although they are running and will register again.
    @Test
    public void should_keep_server_as_suspect_when_store_lost_its_registration() throws Exception {
        List<StoredObject> before = gateway.store().snapshot();
        gateway.backend("one", SERVICE, StoreRolledBackTest::answer);
        gateway.publish();

        gateway.store().restoreFrom(before);

        assertTrue(gateway.awaitLogged("server-doubtful").contains("\"server\":\"one\""));
    }

    // Guards against routes that are lost because the store has lost the configuration.
    @Test
    public void should_keep_configuration_in_force_when_store_lost_it() throws Exception {
        gateway.backend("one", SERVICE, StoreRolledBackTest::answer);
        List<StoredObject> servers = gateway.store().snapshot();
        gateway.publish();

        gateway.store().restoreFrom(servers);
        gateway.awaitLogged("configuration-deleted");

        try (TestCaller caller = gateway.caller()) {
            caller.send(HttpText.head("GET /read/a HTTP/1.1", "Host: house.example", "Test-Id: r1"));
            assertEquals(caller.readAnswer().line(), "HTTP/1.1 200 OK");
        }
    }

    private static Reply answer(ReceivedRequest request) {
        return Reply.of(HttpText.head(
                        "HTTP/1.1 200 OK",
                        "Test-Id: " + request.header(TestProtocols.REQUEST_ID).orElse(""),
                        "Test-Signed: by one",
                        "Content-Length: 2")
                + "ok");
    }
}
