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
    private ScriptedStore server;

    @BeforeMethod
    public void start() throws IOException {
        server = new ScriptedStore();
    }

    @AfterMethod
    public void stop() {
        server.close();
    }

    @Test
    public void should_read_an_object_with_its_version() throws StoreException {
        server.thenAnswer(200, TestObjects.planJson("7", "{\"term\":3}"));

        assertEquals(store().read(TestObjects.PLAN).orElseThrow(), TestObjects.plan("7", "{\"term\":3}"));
        assertEquals(server.calls(), List.of("GET " + PLAN_PATH));
    }

    @Test
    public void should_read_nothing_where_there_is_no_object() throws StoreException {
        server.thenAnswer(404, "{}");

        assertTrue(store().read(TestObjects.PLAN).isEmpty());
    }

    @Test
    public void should_list_with_the_version_a_watch_starts_from() throws StoreException {
        String items = TestObjects.planJson("7", "{}") + "," + TestObjects.json("other", "9", "{}");
        server.thenAnswer(200, "{\"metadata\":{\"resourceVersion\":\"12\"},\"items\":[" + items + "]}");

        StoreListing listing = store().list(ObjectKind.ROLE_PLAN);

        assertEquals(listing.version(), "12");
        assertEquals(listing.objects().size(), 2);
    }

    @Test
    public void should_create_update_and_delete() throws StoreException {
        server.thenAnswer(201, TestObjects.planJson("1", "{}"))
                .thenAnswer(200, TestObjects.planJson("2", "{\"term\":1}"))
                .thenAnswer(200, "{}");
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
    public void should_report_a_conflict_where_the_version_has_moved_on_or_the_object_is_gone() {
        server.thenAnswer(409, "{}").thenAnswer(404, "{}").thenAnswer(409, "{}");
        HttpObjectStore store = store();

        assertThrows(StoreConflictException.class, () -> store.update(TestObjects.plan("1", "{}"), "{}"));
        assertThrows(StoreConflictException.class, () -> store.update(TestObjects.plan("1", "{}"), "{}"));
        assertThrows(StoreConflictException.class, () -> store.create(TestObjects.PLAN, "{}"));
        assertEquals(store.counts().conflicts(), 3);
    }

    @Test
    public void should_say_that_nothing_was_written_where_no_connection_was_made() throws IOException {
        // The store process is down and its port is closed. No byte of an idempotency claim was sent, so the caller's
        // request may be reported as not run.
        URI closed;
        try (ServerSocket socket = new ServerSocket(0)) {
            closed = URI.create("http://127.0.0.1:" + socket.getLocalPort());
        }
        HttpObjectStore store = store(closed, TestObjects.patient());

        assertThrows(StoreUnavailableException.class, () -> store.create(TestObjects.PLAN, "{}"));
    }

    @Test
    public void should_say_that_nothing_was_written_where_the_store_says_so() {
        server.thenAnswer(429, "{}").thenAnswer(503, NOTHING_DONE);
        HttpObjectStore store = store();

        assertThrows(StoreUnavailableException.class, () -> store.create(TestObjects.PLAN, "{}"));
        assertThrows(StoreUnavailableException.class, () -> store.create(TestObjects.PLAN, "{}"));
        assertEquals(server.calls().size(), 2);
    }

    @Test
    public void should_leave_the_outcome_open_where_a_balancer_answers_for_the_store() {
        // A load balancer times out and responds with 503 or 504 itself, while the store still executes the write. If
        // this were treated as "nothing was written", a request could be refused as not run although its claim exists.
        server.thenAnswer(503, "upstream timed out").thenAnswer(504, "").thenAnswer(500, NOTHING_DONE);
        HttpObjectStore store = store();

        for (int call = 0; call < 3; call++) {
            assertThrows(StoreOutcomeUnknownException.class, () -> store.create(TestObjects.PLAN, "{}"));
        }
        assertEquals(store.counts().unknownOutcomes(), 3);
    }

    @Test
    public void should_leave_the_outcome_open_and_send_once_where_the_connection_is_lost() {
        // The store applies a write and the connection breaks before the response. If the write were sent again without
        // a check, it would fail with a conflict caused by itself.
        server.then(new ScriptedStore.Step.Drop());
        HttpObjectStore store = store();

        assertThrows(
                StoreOutcomeUnknownException.class, () -> store.update(TestObjects.plan("1", "{}"), "{\"term\":2}"));
        assertEquals(server.calls(), List.of("PUT " + PLAN_PATH));
    }

    @Test
    public void should_leave_the_outcome_open_where_no_answer_comes_in_time() {
        // A slow store may still apply the write long after the caller has stopped waiting.
        server.then(new ScriptedStore.Step.Silence());
        HttpObjectStore store = store(server.address(), TestObjects.impatientForAnswers());

        assertThrows(StoreOutcomeUnknownException.class, () -> store.create(TestObjects.PLAN, "{}"));
        assertEquals(server.calls().size(), 1);
    }

    @Test
    public void should_repeat_a_read_until_it_is_answered() throws StoreException {
        server.thenAnswer(503, "").thenAnswer(429, "").thenAnswer(200, TestObjects.planJson("7", "{}"));

        assertTrue(store().read(TestObjects.PLAN).isPresent());
        assertEquals(server.calls().size(), 3);
    }

    @Test
    public void should_give_up_a_read_at_its_deadline() {
        // The store is down for minutes. A thread that retried its read for ever would never serve from known data.
        for (int answer = 0; answer < 20; answer++) {
            server.thenAnswer(503, "");
        }
        HttpObjectStore store = store();
        long before = time.monotonicNanos();

        assertThrows(StoreUnavailableException.class, () -> store.read(TestObjects.PLAN));
        assertTrue(time.monotonicNanos() - before
                <= TestObjects.patient().readDeadline().toNanos());
        assertTrue(server.calls().size() > 1);
    }

    @Test
    public void should_not_send_what_the_budget_does_not_allow() throws StoreException {
        server.thenAnswer(200, TestObjects.planJson("7", "{}"));
        HttpObjectStore store = store(server.address(), TestObjects.patient().withBudget(1, 1));

        store.read(TestObjects.PLAN);

        assertThrows(StoreBudgetException.class, () -> store.read(TestObjects.PLAN));
        assertThrows(StoreBudgetException.class, () -> store.create(TestObjects.PLAN, "{}"));
        assertEquals(server.calls().size(), 1);
        assertEquals(store.counts().overBudget(), 2);
    }

    @Test
    public void should_refuse_a_value_the_store_cannot_hold_before_sending_it() {
        String large = "{\"text\":\"" + "x".repeat(1024 * 1024) + "\"}";

        assertThrows(StoreMalformedException.class, () -> store().create(TestObjects.PLAN, large));
        assertThrows(StoreMalformedException.class, () -> store().create(TestObjects.PLAN, "[1]"));
        assertTrue(server.calls().isEmpty());
    }

    @Test
    public void should_report_an_object_that_lacks_its_metadata() {
        server.thenAnswer(200, "{\"spec\":{}}").thenAnswer(200, "not JSON");

        assertThrows(StoreMalformedException.class, () -> store().read(TestObjects.PLAN));
        assertThrows(StoreMalformedException.class, () -> store().read(TestObjects.PLAN));
    }

    private HttpObjectStore store() {
        return store(server.address(), TestObjects.patient());
    }

    private HttpObjectStore store(URI address, StoreSettings settings) {
        return new HttpObjectStore(address, time, new Random(1), settings, time::advance);
    }
}
