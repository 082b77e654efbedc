package org.aspenmoor.internal.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.claim.ClaimDecision;
import org.aspenmoor.internal.link.Link;
import org.aspenmoor.internal.planner.EngineSnapshot;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.wire.v1.Frame;

/** Messages processed by the event loop of the entry. */
public sealed interface EntryMessage {
    /** A caller sent a request. */
    record RequestCame(IncomingRequest request) implements EntryMessage {}

    /** A caller has consumed pieces of its answer. */
    record CallerTook(RequestId id) implements EntryMessage {}

    /** A caller has disconnected. */
    record CallerGone(RequestId id) implements EntryMessage {}

    /** A link to an agent or another entry has been opened. */
    record LinkOpened(Link link) implements EntryMessage {}

    /** A link has closed. */
    record LinkClosed(Link link, String cause) implements EntryMessage {}

    /** A frame was received. */
    record FrameArrived(Link link, Frame frame) implements EntryMessage {}

    /** An object in the store was created or replaced. */
    record ObjectChanged(StoredObject object) implements EntryMessage {}

    /** An object in the store was deleted. */
    record ObjectDeleted(StoredObject object) implements EntryMessage {}

    /** The store's objects of a kind have been listed completely. */
    record CollectionKnown(ObjectKind kind) implements EntryMessage {}

    /** A claim has been decided. */
    record ClaimJudged(ClaimDecision decision) implements EntryMessage {}

    /** Triggers periodic work. */
    record Tick() implements EntryMessage {}

    /** Requests a drain; the future completes once no request is active. */
    record DrainAsked(CompletableFuture<Void> drained) implements EntryMessage {}

    /** The planner requests snapshots of the engines. */
    record EnginesAsked(CompletableFuture<List<EngineSnapshot>> answer) implements EntryMessage {}

    /** Requests a dump of the state. */
    record DumpAsked(CompletableFuture<ObjectNode> answer) implements EntryMessage {}

    /** Requests the trace of a request. */
    record TraceAsked(RequestId id, CompletableFuture<Optional<RequestTrace>> answer) implements EntryMessage {}
}
