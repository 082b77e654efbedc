package org.aspenmoor.internal.standins.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.aspenmoor.internal.standins.http.Json;

/** A request that ran on the engine. */
final class RunRecord {
    private final GenerationCall generation;
    private volatile int tokensSent;
    private volatile End end = End.RUNNING;

    /** How a request ended. */
    enum End {
        RUNNING,
        COMPLETED,
        /** The caller closed the connection before the end of the answer. */
        CANCELLED,
        /** The engine closed the connection because of an injected fault or a role change. */
        CUT
    }

    RunRecord(GenerationCall generation) {
        this.generation = generation;
    }

    void tokensSent(int count) {
        tokensSent = count;
    }

    void end(End newEnd) {
        end = newEnd;
    }

    End end() {
        return end;
    }

    ObjectNode toJson() {
        ObjectNode root = Json.object();
        root.put("requestId", generation.requestId());
        root.put("attempt", generation.attempt());
        root.put("model", generation.model());
        root.put("promptHash", Integer.toHexString(generation.prompt().hashCode()));
        root.put("promptTokens", generation.promptTokens());
        root.put("resumedFrom", generation.resumeFrom());
        root.put("tokensSent", tokensSent);
        root.put("end", end.name());
        return root;
    }
}
