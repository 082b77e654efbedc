package org.aspenmoor.internal.store.client;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.util.List;
import java.util.Random;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.StoreBudgetException;
import org.aspenmoor.internal.store.StoreConflictException;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreListing;
import org.aspenmoor.internal.store.StoreMalformedException;
import org.aspenmoor.internal.store.StoreOutcomeUnknownException;
import org.aspenmoor.internal.store.StoreUnavailableException;
import org.aspenmoor.internal.time.ManualTimeSource;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class HttpObjectStoreTest {
    private static final String NOTHING_DONE = "{\"kind\":\"Status\",\"reason\":\"ServiceUnavailable\",\"code\":503}";
    private static final String PLAN_PATH = "/apis/aspenmoor.org/v1/namespaces/seitkali/roleplans/drafting.almaty-1";

    private final ManualTimeSource time = new ManualTimeSource();
    private ScriptedStoreServer server;

    @BeforeMethod
    public void start() throws IOException {
        server = new ScriptedStoreServer();
    }

    @AfterMethod
    public void stop() {
        server.close();
    }

    @Test
    public void should_return_object_with_version_when_it_exists() throws StoreException {
        server.thenRespond(200, TestObjects.planJson("7", "{\"term\":3}"));

        assertEquals(store().read(TestObjects.PLAN).orElseThrow(), TestObjects.plan("7", "{\"term\":3}"));
        assertEquals(server.calls(), List.of("GET " + PLAN_PATH));
    }

    @Test
    public void should_return_empty_when_object_does_not_exist() throws StoreException {
        server.thenRespond(404, "{}");

        assertTrue(store().read(TestObjects.PLAN).isEmpty());
    }

    @Test
    public void should_return_list_version_when_objects_are_listed() throws StoreException {
        String items = TestObjects.planJson("7", "{}") + "," + TestObjects.json("other", "9", "{}");
        server.thenRespond(200, "{\"metadata\":{\"resourceVersion\":\"12\"},\"items\":[" + items + "]}");

        StoreListing listing = store().list(ObjectKind.ROLE_PLAN);

        assertEquals(listing.version(), "12");
        assertEquals(listing.objects().size(), 2);
    }

    @Test
    public void should_send_post_put_and_delete_when_object_is_written() throws StoreException {
        server.thenRespond(201, TestObjects.planJson("1", "{}"))
                .thenRespond(200, TestObjects.planJson("2", "{\"term\":1}"))
                .thenRespond(200, "{}");
        HttpObjectStore store = store();

        store.delete(store.update(store.create(TestObjects.PLAN, "{}"), "{\"term\":1}"));

        assertEquals(
                server.calls(),
                List.of(
                        "POST /apis/aspenmoor.org/v1/namespaces/seitkali/roleplans",
                        "PUT " + PLAN_PATH,
                        "DELETE " + PLAN_PATH));
        assertEquals(store.counts().writes(), 3);
    }

    @Test
    public void should_throw_conflict_when_version_changed_or_object_was_deleted() {
        server.thenRespond(409, "{}").thenRespond(404, "{}").thenRespond(409, "{}");
        HttpObjectStore store = store();

        assertThrows(StoreConflictException.class, () -> store.update(TestObjects.plan("1", "{}"), "{}"));
        assertThrows(StoreConflictException.class, () -> store.update(TestObjects.plan("1", "{}"), "{}"));
        assertThrows(StoreConflictException.class, () -> store.create(TestObjects.PLAN, "{}"));
        assertEquals(store.counts().conflicts(), 3);
    }

    @Test
    public void should_throw_unavailable_when_connection_is_refused() throws IOException {
        // The store process is down and its port is closed. No byte of an idempotency claim was sent, so the caller's
        // request may be reported as not run.
        URI closed;
        try (ServerSocket socket = new ServerSocket(0)) {
            closed = URI.create("http://127.0.0.1:" + socket.getLocalPort());
        }
        HttpObjectStore store = store(closed, TestObjects.longTimeouts());

        assertThrows(StoreUnavailableException.class, () -> store.create(TestObjects.PLAN, "{}"));
    }

    @Test
    public void should_throw_unavailable_when_store_confirms_that_nothing_was_done() {
        server.thenRespond(429, "{}").thenRespond(503, NOTHING_DONE);
        HttpObjectStore store = store();

        assertThrows(StoreUnavailableException.class, () -> store.create(TestObjects.PLAN, "{}"));
        assertThrows(StoreUnavailableException.class, () -> store.create(TestObjects.PLAN, "{}"));
        assertEquals(server.calls().size(), 2);
    }

    @Test
    public void should_throw_outcome_unknown_when_load_balancer_responds() {
        // A load balancer times out and responds with 503 or 504 itself, while the store still executes the write. If
        // this were treated as "nothing was written", a request could be refused as not run although its claim exists.
        server.thenRespond(503, "upstream timed out").thenRespond(504, "").thenRespond(500, NOTHING_DONE);
        HttpObjectStore store = store();

        for (int call = 0; call < 3; call++) {
            assertThrows(StoreOutcomeUnknownException.class, () -> store.create(TestObjects.PLAN, "{}"));
        }
        assertEquals(store.counts().unknownOutcomes(), 3);
    }

    @Test
    public void should_throw_outcome_unknown_and_send_once_when_connection_is_lost() {
        // The store applies a write and the connection breaks before the response. If the write were sent again without
        // a check, it would fail with a conflict caused by itself.
        server.then(new ScriptedStoreServer.Step.CloseConnection());
        HttpObjectStore store = store();

        assertThrows(
                StoreOutcomeUnknownException.class, () -> store.update(TestObjects.plan("1", "{}"), "{\"term\":2}"));
        assertEquals(server.calls(), List.of("PUT " + PLAN_PATH));
    }

    @Test
    public void should_throw_outcome_unknown_when_call_times_out() {
        // A slow store may still apply the write long after the caller has stopped waiting.
        server.then(new ScriptedStoreServer.Step.NoResponse());
        HttpObjectStore store = store(server.address(), TestObjects.shortCallTimeout());

        assertThrows(StoreOutcomeUnknownException.class, () -> store.create(TestObjects.PLAN, "{}"));
        while (server.calls().isEmpty()) {
            Thread.onSpinWait();
        }
        assertEquals(server.calls().size(), 1);
    }

    @Test
    public void should_retry_read_when_store_is_unavailable() throws StoreException {
        server.thenRespond(503, "").thenRespond(429, "").thenRespond(200, TestObjects.planJson("7", "{}"));

        assertTrue(store().read(TestObjects.PLAN).isPresent());
        assertEquals(server.calls().size(), 3);
    }

    @Test
    public void should_stop_retrying_read_when_deadline_is_reached() {
        // The store is down for minutes. A thread that retried its read for ever would never serve from known data.
        for (int answer = 0; answer < 20; answer++) {
            server.thenRespond(503, "");
        }
        HttpObjectStore store = store();
        long before = time.monotonicNanos();

        assertThrows(StoreUnavailableException.class, () -> store.read(TestObjects.PLAN));
        assertTrue(time.monotonicNanos() - before
                <= TestObjects.longTimeouts().readDeadline().toNanos());
        assertTrue(server.calls().size() > 1);
    }

    @Test
    public void should_not_send_call_when_budget_is_used_up() throws StoreException {
        server.thenRespond(200, TestObjects.planJson("7", "{}"));
        HttpObjectStore store =
                store(server.address(), TestObjects.longTimeouts().withBudget(1, 1));

        store.read(TestObjects.PLAN);

        assertThrows(StoreBudgetException.class, () -> store.read(TestObjects.PLAN));
        assertThrows(StoreBudgetException.class, () -> store.create(TestObjects.PLAN, "{}"));
        assertEquals(server.calls().size(), 1);
        assertEquals(store.counts().overBudget(), 2);
    }

    @Test
    public void should_reject_value_without_sending_when_it_is_too_large_or_not_an_object() {
        String large = "{\"text\":\"" + "x".repeat(1024 * 1024) + "\"}";

        assertThrows(StoreMalformedException.class, () -> store().create(TestObjects.PLAN, large));
        assertThrows(StoreMalformedException.class, () -> store().create(TestObjects.PLAN, "[1]"));
        assertTrue(server.calls().isEmpty());
    }

    @Test
    public void should_throw_malformed_when_object_has_no_metadata_or_is_not_json() {
        server.thenRespond(200, "{\"spec\":{}}").thenRespond(200, "not JSON");

        assertThrows(StoreMalformedException.class, () -> store().read(TestObjects.PLAN));
        assertThrows(StoreMalformedException.class, () -> store().read(TestObjects.PLAN));
    }

    private HttpObjectStore store() {
        return store(server.address(), TestObjects.longTimeouts());
    }

    private HttpObjectStore store(URI address, StoreSettings settings) {
        return new HttpObjectStore(address, time, new Random(1), settings, time::advance);
    }
}
