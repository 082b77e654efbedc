package org.aspenmoor.internal.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.URISyntaxException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import joptsimple.OptionSet;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.document.ServiceName;

/** One call of a command: its options, its arguments and its terminal. */
final class Invocation {
    private static final Map<String, String> FILTERS = Map.of(
            Options.TEAM, "team",
            Options.SERVICE, "service",
            Options.DATA_CENTRE, "dataCentre",
            Options.ENGINE, "engine");

    private final String command;
    private final Terminal terminal;
    private final OptionSet options;
    private final List<String> arguments;

    Invocation(String command, Terminal terminal, OptionSet options, List<String> arguments) {
        this.command = command;
        this.terminal = terminal;
        this.options = options;
        this.arguments = List.copyOf(arguments);
    }

    Terminal terminal() {
        return terminal;
    }

    PrintStream out() {
        return terminal.out();
    }

    boolean has(String option) {
        return options.has(option);
    }

    Optional<String> text(String option) {
        return options.has(option) ? Optional.of((String) options.valueOf(option)) : Optional.empty();
    }

    List<String> texts(String option) {
        return options.valuesOf(option).stream().map(String.class::cast).toList();
    }

    OptionalLong number(String option) {
        return options.has(option) ? OptionalLong.of((Long) options.valueOf(option)) : OptionalLong.empty();
    }

    Duration timeout() {
        return Duration.ofSeconds((Long) options.valueOf(Options.TIMEOUT));
    }

    /** Returns the arguments if there are as many as the command takes. */
    List<String> arguments(int count) throws UsageException {
        if (arguments.size() != count) {
            throw new UsageException(
                    "The command takes " + count + (count == 1 ? " argument" : " arguments") + ", not "
                            + arguments.size() + ".",
                    command);
        }
        return arguments;
    }

    int argumentCount() {
        return arguments.size();
    }

    /** Reads an argument of the form TEAM/SERVICE. */
    ServiceName service(String argument) throws UsageException {
        String[] parts = argument.split("/", -1);
        if (parts.length != 2 || parts[0].isEmpty() || parts[1].isEmpty()) {
            throw new UsageException("\"" + argument + "\" is not TEAM/SERVICE.", command);
        }
        return new ServiceName(parts[0], parts[1]);
    }

    /** Reads an argument that is a number. */
    long revision(String argument) throws UsageException {
        try {
            return Long.parseLong(argument);
        } catch (NumberFormatException notNumber) {
            throw new UsageException("\"" + argument + "\" is no revision.", command);
        }
    }

    /** Reads a file that the operator names. */
    String file(String name) throws AspenmoorException {
        try {
            return Files.readString(Path.of(name));
        } catch (IOException unreadable) {
            throw new UsageException(
                    "The file cannot be read: " + unreadable.getClass().getSimpleName() + ".",
                    name,
                    "Give the path of a readable file.");
        }
    }

    /** Returns the filters of the command line as a query. */
    String query() {
        List<String> parts = new ArrayList<>();
        FILTERS.forEach((option, parameter) -> text(option)
                .ifPresent(value -> parts.add(parameter + "=" + URLEncoder.encode(value, StandardCharsets.UTF_8))));
        return parts.isEmpty() ? "" : "?" + String.join("&", parts);
    }

    /** Says whether an entry was named, on the command line or in the environment. */
    boolean namesEntry() {
        return entry().isPresent();
    }

    /** Returns a client of the first entry that the command line or the environment names. */
    AdministrationClient client() throws AspenmoorException {
        return clients().getFirst();
    }

    /** Returns a client of each entry that is named. */
    List<AdministrationClient> clients() throws AspenmoorException {
        String entries = entry().orElseThrow(() -> new UsageException(
                "No entry is named.", command, "Add --entry URL, or set ASPENMOOR_ENTRY; any entry will do."));
        Optional<String> token = token();
        if (token.isEmpty()) {
            throw new UsageException(
                    "No operator's token is given.",
                    command,
                    "Add --token-file FILE, or set ASPENMOOR_TOKEN or ASPENMOOR_TOKEN_FILE.");
        }
        List<AdministrationClient> clients = new ArrayList<>();
        for (String entry : entries.split(",")) {
            clients.add(new AdministrationClient(address(entry.strip()), token.get()));
        }
        return clients;
    }

    private URI address(String entry) throws UsageException {
        try {
            URI address = new URI(entry);
            if ("http".equals(address.getScheme()) || "https".equals(address.getScheme())) {
                return address;
            }
        } catch (URISyntaxException reportedBelow) {
            // The same refusal as for another scheme follows.
        }
        throw new UsageException("\"" + entry + "\" is no address.", command, "Write it as http://IP:PORT.");
    }

    private Optional<String> entry() {
        return text(Options.ENTRY).or(() -> terminal.environment("ASPENMOOR_ENTRY"));
    }

    private Optional<String> token() throws AspenmoorException {
        Optional<String> given = text(Options.TOKEN);
        if (given.isPresent()) {
            return given;
        }
        Optional<String> file = text(Options.TOKEN_FILE);
        if (file.isEmpty()) {
            Optional<String> fromEnvironment = terminal.environment("ASPENMOOR_TOKEN");
            if (fromEnvironment.isPresent()) {
                return fromEnvironment;
            }
            file = terminal.environment("ASPENMOOR_TOKEN_FILE");
        }
        return file.isPresent() ? Optional.of(file(file.get()).strip()) : Optional.empty();
    }
}
