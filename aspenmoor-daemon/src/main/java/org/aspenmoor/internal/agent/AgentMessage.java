package org.aspenmoor.internal.agent;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.aspenmoor.internal.engine.EngineStatus;
import org.aspenmoor.internal.link.Link;
import org.aspenmoor.internal.wire.v1.Frame;
import org.aspenmoor.internal.wire.v1.Header;

/** What the agent's event loop hears. */
sealed interface AgentMessage {
    /** An entry has connected. */
    record LinkOpened(Link link) implements AgentMessage {}

    /** An entry is gone. */
    record LinkClosed(Link link) implements AgentMessage {}

    /** An entry sent a frame. */
    record FrameArrived(Link link, Frame frame) implements AgentMessage {}

    /** The backend server has begun to answer. */
    record AnswerStarted(AttemptKey key, int status, List<Header> headers) implements AgentMessage {}

    /** The backend server gave pieces of an answer. */
    record PiecesArrived(AttemptKey key, List<AnswerPiece> pieces) implements AgentMessage {}

    /** The backend server has ended an answer. */
    record AnswerEnded(AttemptKey key, CallEnd end) implements AgentMessage {}

    /** The backend server said how it is. */
    record StatusRead(EngineStatus status) implements AgentMessage {}

    /** The backend server did not say how it is. */
    record StatusMissing(String cause) implements AgentMessage {}

    /** The order thread lets new work in or not; the event loop says once it has heard. */
    record ServingAllowed(boolean allowed, long knownPauses, Runnable acknowledge) implements AgentMessage {}

    /** Time has passed. */
    record Tick() implements AgentMessage {}

    /** The process is to stop once nothing runs any more. */
    record DrainAsked(String reason, CompletableFuture<Void> drained) implements AgentMessage {}

    /** Somebody wants to see the state. */
    record DumpAsked(CompletableFuture<ObjectNode> answer) implements AgentMessage {}
}
