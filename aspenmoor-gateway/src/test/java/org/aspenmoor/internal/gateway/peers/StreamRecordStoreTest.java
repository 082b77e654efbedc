package org.aspenmoor.internal.gateway.peers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.serving.SoftwareVersion;
import org.aspenmoor.internal.serving.origin.KnownStream;
import org.aspenmoor.internal.serving.origin.StreamKey;
import org.aspenmoor.internal.serving.origin.StreamOrigin;
import org.aspenmoor.internal.serving.origin.StreamRecord;
import org.aspenmoor.internal.store.InMemoryObjectStore;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.time.ManualTimeSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class StreamRecordStoreTest {
    private static final List<KnownStream> FIRST = List.of(stream("a", "old"), stream("b", "new"));
    private static final List<KnownStream> SECOND = List.of(stream("c", "old"));

    private InMemoryObjectStore store;
    private ManualTimeSource time;
    private List<Map<String, StreamRecord>> loaded;

    @BeforeMethod
    public void createStore() {
        store = new InMemoryObjectStore();
        time = new ManualTimeSource();
        loaded = new ArrayList<>();
    }

    @Test
    public void should_read_what_another_entry_has_written() {
        StreamRecordRequests writing = new StreamRecordRequests();
        writing.write(FIRST);
        records("one", writing).handleRequests();
        time.advance(Duration.ofSeconds(2));
        StreamRecordRequests reading = new StreamRecordRequests();
        reading.load();

        records("two", reading).handleRequests();

        assertEquals(loaded, List.of(Map.of("one", new StreamRecord(FIRST, Duration.ofSeconds(2)))));
    }

    // Guards against a process that cannot replace the record of the process before it.
    @Test
    public void should_replace_the_record_of_an_earlier_process() {
        StreamRecordRequests requests = new StreamRecordRequests();
        requests.write(FIRST);
        records("one", requests).handleRequests();
        requests.write(SECOND);

        assertTrue(records("one", requests).handleRequests());

        requests.load();
        records("one", requests).handleRequests();
        assertEquals(loaded.getFirst().get("one").streams(), SECOND);
    }

    // Guards against a record that is lost because its write failed, or was applied though its answer was lost.
    @Test
    public void should_write_the_record_again_when_the_object_has_changed_since_it_was_read() throws Exception {
        StreamRecordRequests requests = new StreamRecordRequests();
        StreamRecordStore records = records("one", requests);
        requests.write(FIRST);
        records.handleRequests();
        ObjectKey key = new ObjectKey(ObjectKind.STREAM_RECORD, ObjectKey.PLATFORM_NAMESPACE, "one");
        store.update(store.read(key).orElseThrow(), "{}");
        requests.write(SECOND);

        assertFalse(records.handleRequests());
        assertTrue(records.handleRequests());

        requests.load();
        records.handleRequests();
        assertEquals(loaded.getFirst().get("one").streams(), SECOND);
    }

    // Guards against an entry that does not start because of an object that another writer has damaged.
    @Test
    public void should_ignore_records_that_cannot_be_read() throws Exception {
        for (String damaged :
                List.of("no object", "{\"origins\":[{\"keys\":5}]}", "{\"origins\":[{\"keys\":\"!\"}]}")) {
            store.create(
                    new ObjectKey(ObjectKind.STREAM_RECORD, ObjectKey.PLATFORM_NAMESPACE, "r" + damaged.hashCode()),
                    damaged);
        }
        StreamRecordRequests requests = new StreamRecordRequests();
        requests.load();

        assertTrue(records("one", requests).handleRequests());

        assertEquals(
                loaded.getFirst().values().stream()
                        .mapToInt(record -> record.streams().size())
                        .sum(),
                0);
    }

    private static KnownStream stream(String id, String version) {
        return new KnownStream(StreamKey.of("", id), new StreamOrigin("model", new SoftwareVersion(version)));
    }

    private StreamRecordStore records(String entry, StreamRecordRequests requests) {
        PrintStream output = new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8);
        return new StreamRecordStore(store, entry, requests, time, loaded::add, new DecisionLog(time, entry, output));
    }
}
