package org.aspenmoor.internal.entry;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.aspenmoor.RequestId;

/** Remembers the latest requests' stories, so that an operator can ask why one was routed, refused or resumed. */
final class StoryBook {
    private static final int MOST_STORIES = 2000;
    private static final int MOST_SENTENCES = 40;

    private final Map<RequestId, List<String>> stories = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<RequestId, List<String>> eldest) {
            return size() > MOST_STORIES;
        }
    };

    void tell(RequestId id, long milliseconds, String sentence) {
        List<String> sentences = stories.computeIfAbsent(id, ignored -> new ArrayList<>());
        if (sentences.size() < MOST_SENTENCES) {
            sentences.add("+" + milliseconds + " ms: " + sentence);
        }
    }

    Optional<RequestStory> story(RequestId id) {
        return Optional.ofNullable(stories.get(id)).map(sentences -> new RequestStory(id, sentences));
    }
}
