package org.aspenmoor.internal.entry;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.aspenmoor.RequestId;

/** Remembers the latest requests' traces, so that an operator can ask why one was routed, refused or resumed. */
final class TraceLog {
    private static final int MOST_TRACES = 2000;
    private static final int MOST_SENTENCES = 40;

    private final Map<RequestId, List<String>> traces = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<RequestId, List<String>> eldest) {
            return size() > MOST_TRACES;
        }
    };

    void add(RequestId id, long milliseconds, String sentence) {
        List<String> sentences = traces.computeIfAbsent(id, ignored -> new ArrayList<>());
        if (sentences.size() < MOST_SENTENCES) {
            sentences.add("+" + milliseconds + " ms: " + sentence);
        }
    }

    Optional<RequestTrace> trace(RequestId id) {
        return Optional.ofNullable(traces.get(id)).map(sentences -> new RequestTrace(id, sentences));
    }
}
