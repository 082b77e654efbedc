package org.aspenmoor.internal.gateway.log;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Consumer;

/** One line of the decision log while it is put together; a line beyond the rate takes its fields and drops them. */
public final class LogLine {
    private final ObjectNode fields;
    private final Consumer<String> destination;

    LogLine(ObjectNode fields, Consumer<String> destination) {
        this.fields = fields;
        this.destination = destination;
    }

    /** Adds a text. */
    public LogLine with(String name, String value) {
        if (fields != null) {
            fields.put(name, value);
        }
        return this;
    }

    /** Adds a number. */
    public LogLine with(String name, long value) {
        if (fields != null) {
            fields.put(name, value);
        }
        return this;
    }

    /** Hands the line over to be written. */
    public void write() {
        if (fields != null) {
            destination.accept(fields.toString());
        }
    }
}
