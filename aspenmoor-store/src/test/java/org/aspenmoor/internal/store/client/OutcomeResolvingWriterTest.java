package org.aspenmoor.internal.store.client;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.store.client.FaultyObjectStore.WriteFault;
import org.testng.annotations.Test;

public class OutcomeResolvingWriterTest {
    private static final String OURS = "{\"owner\": \"us\", \"nonce\": 41}";
    private static final String THEIRS = "{\"owner\":\"them\",\"nonce\":7}";

    private final FaultyObjectStore store = new FaultyObjectStore();
    private final OutcomeResolvingWriter writes = new OutcomeResolvingWriter(store);

    @Test
    public void should_return_applied_when_response_arrives() throws StoreException {
        store.remove(TestObjects.PLAN);

        assertTrue(writes.create(TestObjects.PLAN, OURS) instanceof WriteOutcome.Applied);
    }

    @Test
    public void should_return_applied_when_response_is_lost_after_write_took_effect() throws StoreException {
        // The response to the write that takes over a lease is lost. If this were treated as a failure, the new owner
        // would wait for its own lease to expire, and there would be no planner until then.
        store.remove(TestObjects.PLAN);
        store.addWriteFaults(WriteFault.APPLIED_ANSWER_LOST);
        int before = store.writesSent();

        assertTrue(writes.create(TestObjects.PLAN, OURS) instanceof WriteOutcome.Applied);
        assertEquals(store.writesSent() - before, 1);
    }

    @Test
    public void should_send_again_with_same_condition_when_write_never_arrived() throws StoreException {
        StoredObject read = store.put(TestObjects.PLAN, THEIRS);
        store.addWriteFaults(WriteFault.NEVER_ARRIVED);

        WriteOutcome outcome = writes.update(read, OURS);

        assertTrue(outcome instanceof WriteOutcome.Applied applied
                && applied.object().value().equals(OURS));
    }

    @Test
    public void should_return_applied_when_response_is_lost_twice() throws StoreException {
        StoredObject read = store.put(TestObjects.PLAN, THEIRS);
        store.addWriteFaults(WriteFault.NEVER_ARRIVED, WriteFault.APPLIED_ANSWER_LOST);

        assertTrue(writes.update(read, OURS) instanceof WriteOutcome.Applied);
    }

    @Test
    public void should_return_superseded_when_another_writer_was_first() throws StoreException {
        // Two entries take over the same lease, and the response to the slower one is lost. It must not assume that it
        // holds the lease.
        StoredObject read = store.put(TestObjects.PLAN, "{}");
        StoredObject theirs = store.put(TestObjects.PLAN, THEIRS);
        store.addWriteFaults(WriteFault.NEVER_ARRIVED);

        WriteOutcome outcome = writes.update(read, OURS);

        assertTrue(outcome instanceof WriteOutcome.Superseded superseded
                && superseded.current().orElseThrow().equals(theirs));
    }

    @Test
    public void should_return_unknown_when_object_cannot_be_read() throws StoreException {
        // The store goes down right after a write. The outcome must be reported as unknown, not as "not run".
        StoredObject read = store.put(TestObjects.PLAN, THEIRS);
        store.addWriteFaults(WriteFault.APPLIED_ANSWER_LOST);
        store.failNextReads(1);

        assertTrue(writes.update(read, OURS) instanceof WriteOutcome.Unknown);
    }

    @Test
    public void should_return_unknown_when_no_retry_arrives() throws StoreException {
        StoredObject read = store.put(TestObjects.PLAN, THEIRS);
        store.addWriteFaults(WriteFault.NEVER_ARRIVED, WriteFault.NEVER_ARRIVED, WriteFault.NEVER_ARRIVED);

        assertTrue(writes.update(read, OURS) instanceof WriteOutcome.Unknown);
    }

    @Test
    public void should_recognise_own_write_by_marker_when_object_changed_since() throws StoreException {
        // A claim is added to a bucket, the response is lost, and another entry adds its own claim before the first
        // entry reads the bucket.
        StoredObject read = store.put(TestObjects.PLAN, "{\"claims\":[]}");
        store.put(TestObjects.PLAN, "{\"claims\":[\"ours\",\"theirs\"]}");
        store.addWriteFaults(WriteFault.NEVER_ARRIVED);

        WriteOutcome outcome = writes.update(
                read, "{\"claims\":[\"ours\"]}", object -> object.value().contains("\"ours\""));

        assertTrue(outcome instanceof WriteOutcome.Applied);
    }
}
