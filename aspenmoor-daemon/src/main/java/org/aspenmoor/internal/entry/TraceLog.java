package org.aspenmoor.internal.entry;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.aspenmoor.RequestId;

/** Keeps the traces of the latest requests, so that an operator can see why one was routed, refused or resumed. */
final class TraceLog {
    private static final int MAX_TRACES = 2000;
    private static final int MAX_EVENTS_PER_TRACE = 40;

    private final Map<RequestId, List<String>> traces = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<RequestId, List<String>> eldest) {
            return size() > MAX_TRACES;
        }
    };

    void add(RequestId id, long milliseconds, String event) {
        List<String> events = traces.computeIfAbsent(id, ignored -> new ArrayList<>());
        if (events.size() < MAX_EVENTS_PER_TRACE) {
            events.add("+" + milliseconds + " ms: " + event);
        }
    }

    Optional<RequestTrace> trace(RequestId id) {
        return Optional.ofNullable(traces.get(id)).map(events -> new RequestTrace(id, events));
    }
}
