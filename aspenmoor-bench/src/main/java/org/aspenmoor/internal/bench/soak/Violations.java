package org.aspenmoor.internal.bench.soak;

import java.util.Optional;

/** Takes up the first promise that was broken. */
final class Violations {
    private Optional<String> first = Optional.empty();

    void report(String text) {
        if (first.isEmpty()) {
            first = Optional.of(text);
        }
    }

    Optional<String> first() {
        return first;
    }
}
