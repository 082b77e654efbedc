package org.aspenmoor.internal.daemon;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.aspenmoor.Aspenmoor;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.log.LogSetup;
import org.aspenmoor.internal.settings.AgentSettings;
import org.aspenmoor.internal.settings.DaemonSettings;
import org.aspenmoor.internal.settings.EntrySettings;
import org.aspenmoor.internal.settings.SettingsReader;

/** Main class of the daemon. */
public final class AspenmoorDaemon {
    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    private AspenmoorDaemon() {}

    /** Starts the daemon. Exit codes: 0 normal exit, 1 start failed, 2 invalid command line or settings. */
    public static void main(String[] arguments) throws IOException {
        int exit = run(arguments, System.out, System.err);
        if (exit != EXIT_OK) {
            System.exit(exit);
        }
    }

    private static int run(String[] arguments, PrintStream out, PrintStream err) throws IOException {
        OptionParser parser = new OptionParser();
        OptionSpec<String> settingsFile = parser.accepts("settings", "settings file (JSON with comments)")
                .withRequiredArg()
                .describedAs("file");
        OptionSpec<Void> check = parser.accepts("check", "check the settings and exit");
        OptionSpec<Void> help =
                parser.accepts("help", "print this help and exit").forHelp();
        OptionSpec<Void> version =
                parser.accepts("version", "print the version and exit").forHelp();
        try {
            OptionSet options = parser.parse(arguments);
            if (options.has(help)) {
                parser.printHelpOn(out);
                return EXIT_OK;
            }
            if (options.has(version)) {
                out.println("aspenmoord " + Aspenmoor.VERSION);
                return EXIT_OK;
            }
            if (!options.has(settingsFile)) {
                err.println("No settings file was given. Use aspenmoord --settings FILE; see --help.");
                return EXIT_USAGE;
            }
            return start(Path.of(options.valueOf(settingsFile)), options.has(check), out, err);
        } catch (OptionException invalid) {
            err.println(invalid.getMessage() + ". See --help.");
            return EXIT_USAGE;
        }
    }

    private static int start(Path file, boolean checkOnly, PrintStream out, PrintStream err) {
        DaemonSettings settings;
        try {
            settings = new SettingsReader().read(file);
        } catch (AspenmoorException invalid) {
            err.println(invalid.getMessage());
            return EXIT_USAGE;
        }
        if (checkOnly) {
            out.println("The settings are valid.");
            return EXIT_OK;
        }
        LogSetup.use(settings.process().logFormat());
        try {
            switch (settings) {
                case EntrySettings entry -> new EntryDaemon(entry).start(out);
                case AgentSettings agent -> new AgentDaemon(agent).start(out);
            }
            return EXIT_OK;
        } catch (AspenmoorException failure) {
            err.println(failure.getMessage());
            return EXIT_FAILED;
        }
    }
}
