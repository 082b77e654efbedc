package org.aspenmoor.internal.standins.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;

/**
 * An equation that the counters of a process must satisfy: one count is the sum of others.
 *
 * @param account name of the object in the state dump that holds the counts
 * @param total name of the count that must equal the sum
 * @param parts names of the counts that are summed
 * @param zeroAtRest name of the count that must be zero when the process is idle; empty if there is none
 */
record AccountEquation(String account, String total, List<String> parts, Optional<String> zeroAtRest) {
    /** The equations of entries and agents. */
    static final List<AccountEquation> ALL = List.of(
            new AccountEquation(
                    "requests",
                    "received",
                    List.of("answered", "notRun", "unknown", "cancelled", "inFlight"),
                    Optional.of("inFlight")),
            new AccountEquation("chunks", "received", List.of("delivered", "discarded", "broken"), Optional.empty()),
            new AccountEquation(
                    "dispatches",
                    "received",
                    List.of("refused", "complete", "failed", "cancelled", "running"),
                    Optional.of("running")));

    /** Returns a description if the counts of a process violate the equation. */
    Optional<String> violation(String process, JsonNode counts) {
        long sum = parts.stream().mapToLong(part -> counts.path(part).asLong()).sum();
        if (counts.path(total).asLong() != sum) {
            return Optional.of(process + ": " + account + " do not balance: " + counts);
        }
        return zeroAtRest
                .filter(count -> counts.path(count).asLong() != 0)
                .map(count -> process + ": " + account + " still " + count + ": " + counts);
    }

    /** Returns whether the counts contain every field of the equation. */
    boolean isComplete(JsonNode counts) {
        return counts.has(total) && parts.stream().allMatch(counts::has);
    }
}
