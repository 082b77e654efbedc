package org.aspenmoor.internal.gateway.quarantine;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.aspenmoor.internal.serving.quarantine.ServerIncarnation;
import org.aspenmoor.internal.serving.quarantine.ServerTermination;

/** Merges the server terminations of one request known to the store with those known to this entry. */
final class TerminationMerge {
    private final Map<ServerIncarnation, ServerTermination> terminations = new LinkedHashMap<>();
    private final boolean objectExists;
    private final boolean storeIncomplete;

    TerminationMerge(List<ServerTermination> stored, List<ServerTermination> local) {
        stored.forEach(termination -> terminations.put(termination.incarnation(), termination));
        objectExists = !stored.isEmpty();
        boolean anyMissing = false;
        for (ServerTermination termination : local) {
            ServerTermination previous = terminations.get(termination.incarnation());
            anyMissing |= previous == null || (termination.cleared() && !previous.cleared());
            terminations.merge(termination.incarnation(), termination, TerminationMerge::merge);
        }
        storeIncomplete = anyMissing;
    }

    /**
     * Returns whether the store lacks information. A new object is not created for terminations that are all
     * cleared.
     */
    boolean needsWrite() {
        return storeIncomplete
                && (objectExists || terminations.values().stream().anyMatch(termination -> !termination.cleared()));
    }

    List<ServerTermination> terminations() {
        return List.copyOf(terminations.values());
    }

    private static ServerTermination merge(ServerTermination one, ServerTermination other) {
        Duration maxAge = one.age().compareTo(other.age()) > 0 ? one.age() : other.age();
        return new ServerTermination(one.suspect(), one.incarnation(), maxAge, one.cleared() || other.cleared());
    }
}
