package org.aspenmoor.internal.serving;

import java.util.Optional;

/**
 * What one entry knows about the speed of one backend server.
 *
 * @param server the server's id
 * @param startedAt start time of its incarnation, in milliseconds since 1970
 * @param stated how long work takes at the server at this moment, as the server stated it; empty if it states nothing
 * @param lasting how long work takes at the server outside of slow phases, as it stated it; empty if it states nothing
 * @param learned how long work takes at the server compared with the settings, as the entry measured it; empty if it
 *     has measured nothing, or has reported it lately
 */
public record ServerSpeed(
        String server,
        long startedAt,
        Optional<StatedSlowdown> stated,
        Optional<LastingSlowdown> lasting,
        Optional<LearnedSlowdown> learned) {}
