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

/** One invocation of a command with its options, arguments and terminal. */
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

    boolean hasOption(String option) {
        return options.has(option);
    }

    Optional<String> optionValue(String option) {
        return options.has(option) ? Optional.of((String) options.valueOf(option)) : Optional.empty();
    }

    List<String> optionValues(String option) {
        return options.valuesOf(option).stream().map(String.class::cast).toList();
    }

    OptionalLong optionNumber(String option) {
        return options.has(option) ? OptionalLong.of((Long) options.valueOf(option)) : OptionalLong.empty();
    }

    Duration timeout() {
        return Duration.ofSeconds((Long) options.valueOf(Options.TIMEOUT));
    }

    /**
     * Returns the arguments.
     *
     * @throws UsageException if their number differs from {@code count}
     */
    List<String> requireArguments(int count) throws UsageException {
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

    /** Parses an argument of the form TEAM/SERVICE. */
    ServiceName parseServiceName(String argument) throws UsageException {
        String[] parts = argument.split("/", -1);
        if (parts.length != 2 || parts[0].isEmpty() || parts[1].isEmpty()) {
            throw new UsageException("\"" + argument + "\" is not of the form TEAM/SERVICE.", command);
        }
        return new ServiceName(parts[0], parts[1]);
    }

    /** Parses an argument that is a revision number. */
    long parseRevision(String argument) throws UsageException {
        try {
            return Long.parseLong(argument);
        } catch (NumberFormatException notNumber) {
            throw new UsageException("\"" + argument + "\" is not a revision number.", command);
        }
    }

    /** Reads a file given on the command line or in the environment. */
    String readFile(String name) throws AspenmoorException {
        try {
            return Files.readString(Path.of(name));
        } catch (IOException unreadable) {
            throw new UsageException(
                    "The file cannot be read: " + unreadable.getClass().getSimpleName() + ".",
                    name,
                    "Give the path of a readable file.");
        }
    }

    /** Returns the filter options as a URL query with a leading question mark; empty if no filter is given. */
    String filterQuery() {
        List<String> parts = new ArrayList<>();
        FILTERS.forEach((option, parameter) -> optionValue(option)
                .ifPresent(value -> parts.add(parameter + "=" + URLEncoder.encode(value, StandardCharsets.UTF_8))));
        return parts.isEmpty() ? "" : "?" + String.join("&", parts);
    }

    /** Returns whether an entry is given on the command line or in the environment. */
    boolean hasEntry() {
        return entryAddresses().isPresent();
    }

    /** Returns a client for the first entry given on the command line or in the environment. */
    AdministrationClient client() throws AspenmoorException {
        return clients().getFirst();
    }

    /** Returns a client for each entry given on the command line or in the environment. */
    List<AdministrationClient> clients() throws AspenmoorException {
        String addresses = entryAddresses()
                .orElseThrow(() -> new UsageException(
                        "No entry address was given.",
                        command,
                        "Add --entry URL, or set ASPENMOOR_ENTRY; any entry can be used."));
        Optional<String> token = token();
        if (token.isEmpty()) {
            throw new UsageException(
                    "No operator token was given.",
                    command,
                    "Add --token-file FILE, or set ASPENMOOR_TOKEN or ASPENMOOR_TOKEN_FILE.");
        }
        List<AdministrationClient> clients = new ArrayList<>();
        for (String entry : addresses.split(",")) {
            clients.add(new AdministrationClient(parseAddress(entry.strip()), token.get()));
        }
        return clients;
    }

    private URI parseAddress(String entry) throws UsageException {
        try {
            URI address = new URI(entry);
            if ("http".equals(address.getScheme()) || "https".equals(address.getScheme())) {
                return address;
            }
        } catch (URISyntaxException reportedBelow) {
            // Rejected below with the same message as an unsupported scheme.
        }
        throw new UsageException("\"" + entry + "\" is not a valid address.", command, "Use the form http://IP:PORT.");
    }

    private Optional<String> entryAddresses() {
        return optionValue(Options.ENTRY).or(() -> terminal.environmentVariable("ASPENMOOR_ENTRY"));
    }

    private Optional<String> token() throws AspenmoorException {
        Optional<String> fromOption = optionValue(Options.TOKEN);
        if (fromOption.isPresent()) {
            return fromOption;
        }
        Optional<String> file = optionValue(Options.TOKEN_FILE);
        if (file.isEmpty()) {
            Optional<String> fromEnvironment = terminal.environmentVariable("ASPENMOOR_TOKEN");
            if (fromEnvironment.isPresent()) {
                return fromEnvironment;
            }
            file = terminal.environmentVariable("ASPENMOOR_TOKEN_FILE");
        }
        return file.isPresent() ? Optional.of(readFile(file.get()).strip()) : Optional.empty();
    }
}
