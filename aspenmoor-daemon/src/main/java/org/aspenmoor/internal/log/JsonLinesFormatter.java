package org.aspenmoor.internal.log;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.io.StringWriter;
import org.jboss.logmanager.ExtFormatter;
import org.jboss.logmanager.ExtLogRecord;

/** Formats each log message as a JSON object on one line. */
final class JsonLinesFormatter extends ExtFormatter {
    @Override
    public String format(ExtLogRecord record) {
        ObjectNode line = JsonNodeFactory.instance.objectNode();
        line.put("time", record.getInstant().toString());
        line.put("level", record.getLevel().getName());
        line.put("part", record.getLoggerName());
        line.put("thread", record.getThreadName());
        line.put("message", record.getFormattedMessage());
        if (record.getThrown() != null) {
            StringWriter trace = new StringWriter();
            record.getThrown().printStackTrace(new PrintWriter(trace));
            line.put("failure", trace.toString());
        }
        return line + System.lineSeparator();
    }
}
