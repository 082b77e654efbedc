package org.aspenmoor.internal.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.testng.annotations.Test;

public class EventSplitterTest {
    private static final String STREAM = "id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\nid: 3\ndata: three\n\n";

    @Test
    public void should_split_stream_into_complete_events_when_chunks_end_anywhere() {
        Random random = new Random(3);
        for (int round = 0; round < 500; round++) {
            EventSplitter splitter = new EventSplitter();
            List<String> events = new ArrayList<>();
            int at = 0;
            while (at < STREAM.length()) {
                int end = Math.min(STREAM.length(), at + 1 + random.nextInt(12));
                splitter.add(bytes(STREAM.substring(at, end)));
                drain(splitter, events);
                at = end;
            }
            assertEquals(String.join("", events), STREAM);
            assertEquals(events.size(), 3);
            assertFalse(splitter.hasPartialEvent());
            splitter.release();
        }
    }

    @Test
    public void should_hold_back_event_when_it_is_incomplete() {
        EventSplitter splitter = new EventSplitter();
        List<String> events = new ArrayList<>();
        splitter.add(bytes("id: 1\ndata: one\n\nid: 2\nda"));
        drain(splitter, events);

        assertEquals(events, List.of("id: 1\ndata: one\n\n"));
        assertEquals(splitter.hasPartialEvent(), true);
        splitter.release();
    }

    @Test
    public void should_return_event_id_when_event_has_one() {
        assertEquals(EventSplitter.eventId(bytes("data: x\nid: 17\n\n")), Optional.of("17"));
        assertEquals(EventSplitter.eventId(bytes("data: x\n\n")), Optional.empty());
    }

    private static void drain(EventSplitter splitter, List<String> events) {
        for (Optional<ByteBuf> event = splitter.next(); event.isPresent(); event = splitter.next()) {
            events.add(event.get().toString(StandardCharsets.UTF_8));
            event.get().release();
        }
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    }
}
