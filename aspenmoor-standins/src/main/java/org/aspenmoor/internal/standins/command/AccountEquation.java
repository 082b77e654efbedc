package org.aspenmoor.internal.standins.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;

/**
 * An equation that a process's account must satisfy: one count is the sum of others.
 *
 * @param account the object in the state dump that holds the counts
 * @param total the count on the left
 * @param parts the counts on the right
 * @param zeroAtRest the count that is zero once nothing is sent any more; empty where there is none
 */
record AccountEquation(String account, String total, List<String> parts, Optional<String> zeroAtRest) {
    /** All equations, of entries and of agents. */
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

    /** Returns what is wrong with the counts of a process, if anything. */
    Optional<String> violation(String process, JsonNode counts) {
        long sum = parts.stream().mapToLong(part -> counts.path(part).asLong()).sum();
        if (counts.path(total).asLong() != sum) {
            return Optional.of(process + ": " + account + " do not balance: " + counts);
        }
        return zeroAtRest.filter(count -> counts.path(count).asLong() != 0)
                .map(count -> process + ": " + account + " still " + count + ": " + counts);
    }

    /** Says whether the counts have all the equation's fields. */
    boolean isComplete(JsonNode counts) {
        return counts.has(total) && parts.stream().allMatch(counts::has);
    }
}
