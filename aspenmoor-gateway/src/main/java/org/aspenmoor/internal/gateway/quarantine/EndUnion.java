package org.aspenmoor.internal.gateway.quarantine;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.aspenmoor.internal.serving.quarantine.ServerEnd;
import org.aspenmoor.internal.serving.quarantine.ServerStart;

/** Merges the server terminations of one request known to the store with those known to this entry. */
final class EndUnion {
    private final Map<ServerStart, ServerEnd> ends = new LinkedHashMap<>();
    private final boolean stored;
    private final boolean lacking;

    EndUnion(List<ServerEnd> there, List<ServerEnd> here) {
        there.forEach(end -> ends.put(end.server(), end));
        stored = !there.isEmpty();
        boolean anyLacking = false;
        for (ServerEnd end : here) {
            ServerEnd before = ends.get(end.server());
            anyLacking |= before == null || (end.excused() && !before.excused());
            ends.merge(end.server(), end, EndUnion::merged);
        }
        lacking = anyLacking;
    }

    /**
     * Returns whether the store lacks information. A new object is not created for terminations that are all
     * cleared.
     */
    boolean worthWriting() {
        return lacking && (stored || ends.values().stream().anyMatch(end -> !end.excused()));
    }

    List<ServerEnd> ends() {
        return List.copyOf(ends.values());
    }

    private static ServerEnd merged(ServerEnd one, ServerEnd other) {
        Duration older = one.age().compareTo(other.age()) > 0 ? one.age() : other.age();
        return new ServerEnd(one.request(), one.server(), older, one.excused() || other.excused());
    }
}
