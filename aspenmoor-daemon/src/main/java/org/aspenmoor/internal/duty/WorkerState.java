package org.aspenmoor.internal.duty;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A duty at one moment.
 *
 * @param name the duty's name
 * @param ringSize places in its ring
 * @param waiting messages in the ring
 * @param refused messages that found no room
 * @param failed messages whose handling failed
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
