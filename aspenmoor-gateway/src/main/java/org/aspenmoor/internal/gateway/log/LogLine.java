package org.aspenmoor.internal.gateway.log;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Consumer;

/** Builder of one line of the decision log; if the rate limit is exceeded, it ignores its fields and writes nothing. */
public final class LogLine {
    private final ObjectNode fields;
    private final Consumer<String> destination;

    LogLine(ObjectNode fields, Consumer<String> destination) {
        this.fields = fields;
        this.destination = destination;
    }

    /** Adds a text field. */
    public LogLine with(String name, String value) {
        if (fields != null) {
            fields.put(name, value);
        }
        return this;
    }

    /** Adds a number field. */
    public LogLine with(String name, long value) {
        if (fields != null) {
            fields.put(name, value);
        }
        return this;
    }

    /** Queues the line to be written. */
    public void write() {
        if (fields != null) {
            destination.accept(fields.toString());
        }
    }
}
