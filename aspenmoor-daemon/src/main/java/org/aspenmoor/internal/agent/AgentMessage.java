package org.aspenmoor.internal.agent;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.aspenmoor.internal.engine.EngineStatus;
import org.aspenmoor.internal.link.Link;
import org.aspenmoor.internal.wire.v1.Frame;
import org.aspenmoor.internal.wire.v1.Header;

/** Messages processed by the event loop of the agent. */
sealed interface AgentMessage {
    /** An entry has opened a link. */
    record LinkOpened(Link link) implements AgentMessage {}

    /** The link to an entry has closed. */
    record LinkClosed(Link link) implements AgentMessage {}

    /** A frame was received from an entry. */
    record FrameArrived(Link link, Frame frame) implements AgentMessage {}

    /** The backend server has started to answer. */
    record AnswerStarted(AttemptKey key, int status, List<Header> headers) implements AgentMessage {}

    /** Pieces of an answer were received from the backend server. */
    record PiecesArrived(AttemptKey key, List<AnswerPiece> pieces) implements AgentMessage {}

    /** The call to the backend server has ended. */
    record AnswerEnded(AttemptKey key, CallEnd end) implements AgentMessage {}

    /** The status of the backend server was read. */
    record StatusRead(EngineStatus status) implements AgentMessage {}

    /** The status of the backend server could not be read. */
    record StatusMissing(String cause) implements AgentMessage {}

    /** The order thread permits or forbids new work; {@code acknowledge} is run once the change has taken effect. */
    record ServingAllowed(boolean allowed, long knownPauses, Runnable acknowledge) implements AgentMessage {}

    /** Triggers periodic checks. */
    record Tick() implements AgentMessage {}

    /** Requests a drain; the future completes once no attempt is running. */
    record DrainAsked(String reason, CompletableFuture<Void> drained) implements AgentMessage {}

    /** Requests a dump of the state. */
    record DumpAsked(CompletableFuture<ObjectNode> answer) implements AgentMessage {}
}
