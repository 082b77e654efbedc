package org.aspenmoor.internal.log;

import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.aspenmoor.internal.settings.LogFormat;
import org.jboss.logmanager.formatters.PatternFormatter;
import org.jboss.logmanager.handlers.ConsoleHandler;

/** Configures logging: a single handler that writes to standard error, as text or as JSON lines. */
public final class LogSetup {
    private static final String TEXT_PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5p %s%e%n";

    private LogSetup() {}

    /** Replaces the handlers of the root logger by one with the given format. */
    public static void use(LogFormat format) {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        root.addHandler(new ConsoleHandler(ConsoleHandler.Target.SYSTEM_ERR, formatter(format)));
        root.setLevel(Level.INFO);
        Logger.getLogger("ratpack").setLevel(Level.WARNING);
    }

    private static Formatter formatter(LogFormat format) {
        return switch (format) {
            case TEXT -> new PatternFormatter(TEXT_PATTERN);
            case JSON -> new JsonLinesFormatter();
        };
    }
}
