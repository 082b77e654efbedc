package org.aspenmoor.internal.gateway.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.serving.BackendDirectory;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.PlacementPolicy;
import org.aspenmoor.internal.serving.PromptPart;
import org.aspenmoor.internal.serving.quarantine.ServerIncarnation;
import org.aspenmoor.internal.time.TimeSource;

/**
 * Decides which engines are asked for the contents of their caches, each incarnation of an engine once. A process that
 * has just started does not know what engines have cached; without the listing, after a restart of all entries every
 * shared prompt part would be prefilled again while the callers wait. Confined to the event loop.
 */
public final class CacheListing {
    private final BackendDirectory directory;
    private final PlacementPolicy placementPolicy;
    private final ToIntFunction<BackendServer> cacheTokens;
    private final TimeSource time;
    private final DecisionLog log;
    private final Set<ServerIncarnation> listed = new HashSet<>();

    CacheListing(
            BackendDirectory directory,
            PlacementPolicy placementPolicy,
            ToIntFunction<BackendServer> cacheTokens,
            TimeSource time,
            DecisionLog log) {
        this.directory = directory;
        this.placementPolicy = placementPolicy;
        this.cacheTokens = cacheTokens;
        this.time = time;
        this.log = log;
    }

    /** Returns the engines that are to be asked now, and takes them as asked. */
    public List<BackendServer> takeEngines() {
        List<BackendServer> engines = new ArrayList<>();
        for (BackendServer server : directory.servers()) {
            boolean paused = placementPolicy
                    .backoffs()
                    .remaining(server.id(), time.monotonicNanos())
                    .isPositive();
            if (cacheTokens.applyAsInt(server) > 0 && !paused && listed.add(ServerIncarnation.of(server))) {
                engines.add(server);
            }
        }
        return engines;
    }

    /** Records the prompt parts that an engine reports as cached. */
    public void received(BackendServer engine, List<PromptPart> parts) {
        placementPolicy.promptAssignments().cacheReported(engine.id(), parts, time.monotonicNanos());
        log.notable("cache-listed")
                .with("server", engine.id())
                .with("parts", parts.size())
                .write();
    }
}
