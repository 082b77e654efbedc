package org.aspenmoor.internal.duty;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The state of a worker at one moment.
 *
 * @param name the worker's name
 * @param ringSize capacity of its ring buffer, in messages
 * @param waiting number of messages in the ring buffer
 * @param refused number of messages refused because the ring buffer was full
 * @param failed number of messages or ends of a batch whose handling failed
 */
public record WorkerState(String name, int ringSize, long waiting, long refused, long failed) {
    /** Writes the state into a dump. */
    public void writeTo(ObjectNode node) {
        node.put("name", name);
        node.put("ringSize", ringSize);
        node.put("waiting", waiting);
        node.put("refused", refused);
        node.put("failed", failed);
    }
}
