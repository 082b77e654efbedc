package org.aspenmoor.internal.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.claim.ClaimVerdict;
import org.aspenmoor.internal.link.Link;
import org.aspenmoor.internal.planner.EngineSnapshot;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.wire.v1.Frame;

/** What the entry's event loop hears. */
public sealed interface EntryMessage {
    /** A caller asks for something. */
    record RequestCame(IncomingRequest request) implements EntryMessage {}

    /** A caller has taken pieces of its answer. */
    record CallerTook(RequestId id) implements EntryMessage {}

    /** A caller has gone away. */
    record CallerGone(RequestId id) implements EntryMessage {}

    /** A link to an agent or another entry stands. */
    record LinkOpened(Link link) implements EntryMessage {}

    /** A link has ended. */
    record LinkClosed(Link link, String cause) implements EntryMessage {}

    /** A frame arrived. */
    record FrameArrived(Link link, Frame frame) implements EntryMessage {}

    /** An object in the store was created or replaced. */
    record ObjectChanged(StoredObject object) implements EntryMessage {}

    /** An object in the store was deleted. */
    record ObjectDeleted(StoredObject object) implements EntryMessage {}

    /** The store's collection of a kind has been told whole. */
    record CollectionKnown(ObjectKind kind) implements EntryMessage {}

    /** The store has judged a claim. */
    record ClaimJudged(ClaimVerdict decision) implements EntryMessage {}

    /** Time has passed. */
    record Tick() implements EntryMessage {}

    /** The process is to stop once no request is held any more. */
    record DrainAsked(CompletableFuture<Void> drained) implements EntryMessage {}

    /** The planner wants to know how the engines stand. */
    record EnginesAsked(CompletableFuture<List<EngineSnapshot>> answer) implements EntryMessage {}

    /** Somebody wants to see the state. */
    record DumpAsked(CompletableFuture<ObjectNode> answer) implements EntryMessage {}

    /** Somebody wants to know what became of a request. */
    record TraceAsked(RequestId id, CompletableFuture<Optional<RequestTrace>> answer) implements EntryMessage {}
}
