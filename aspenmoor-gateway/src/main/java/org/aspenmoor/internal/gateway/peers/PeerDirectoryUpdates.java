package org.aspenmoor.internal.gateway.peers;

import java.util.Set;
import java.util.concurrent.Executor;
import org.aspenmoor.internal.gateway.request.ServingState;
import org.aspenmoor.internal.serving.origin.StreamOrigin;
import org.aspenmoor.internal.serving.origin.StreamOriginTracker;

/** Passes what is read of the entries' registrations to the event loop. */
public final class PeerDirectoryUpdates implements PeerDirectoryListener {
    private final PeerExchange peers;
    private final ServingState state;
    private final StreamOriginTracker origins;
    private final Executor eventLoop;

    public PeerDirectoryUpdates(
            PeerExchange peers, ServingState state, StreamOriginTracker origins, Executor eventLoop) {
        this.peers = peers;
        this.state = state;
        this.origins = origins;
        this.eventLoop = eventLoop;
    }

    @Override
    public void entriesListed(ListedEntries listed) {
        eventLoop.execute(() -> {
            peers.replacePeers(listed.addresses());
            state.entriesListed(listed.listing());
            origins.statementsListed(listed.origins());
        });
    }

    @Override
    public void originsStated(Set<StreamOrigin> stated) {
        eventLoop.execute(() -> origins.statementAccepted(stated));
    }
}
