package org.aspenmoor.internal.cli;

import java.io.IOException;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.aspenmoor.Aspenmoor;
import org.aspenmoor.AspenmoorException;

/** Finds the command that a command line calls, runs it and reports its errors. */
public final class OperatorTool {
    private final Terminal terminal;
    private final List<Command> commands;

    public OperatorTool(Terminal terminal) {
        this.terminal = terminal;
        List<Command> working = List.of(
                new DocumentCheckCommand(),
                new DocumentGetCommand(),
                new DocumentEditCommand(),
                new DocumentDifferenceCommand(),
                new DocumentAcceptCommand(),
                new DocumentHistoryCommand(),
                new DocumentRevertCommand(),
                new StatusCommand(),
                new EnginesCommand(),
                new DutiesCommand(),
                new WaitCommand(),
                new ExplainCommand(),
                new DumpCommand());
        this.commands = Stream.concat(working.stream(), Stream.of(new CompletionCommand(working)))
                .toList();
    }

    /** Runs one command line. */
    public ExitCode run(String... arguments) {
        boolean json = Arrays.asList(arguments).contains("--" + Options.JSON);
        try {
            return dispatch(List.of(arguments));
        } catch (AspenmoorException error) {
            return new ErrorReport(terminal.error(), json).report(error);
        }
    }

    private ExitCode dispatch(List<String> line) throws AspenmoorException {
        if (line.isEmpty() || line.getFirst().equals("--" + Options.HELP)) {
            printOverview();
            return line.isEmpty() ? ExitCode.USAGE : ExitCode.DONE;
        }
        if (line.getFirst().equals("--" + Options.VERSION)) {
            return printVersion();
        }
        Command command = find(line)
                .orElseThrow(() -> new UsageException(
                        "There is no command \"" + line.getFirst() + "\" with these words.",
                        String.join(" ", line),
                        "Run \"aspenmoor --help\" for the list of commands."));
        int words = command.name().split(" ").length;
        return run(command, line.subList(words, line.size()));
    }

    private Optional<Command> find(List<String> line) {
        return commands.stream()
                .filter(command -> isCalledBy(command, line))
                .max(Comparator.comparingInt(command -> command.name().length()));
    }

    private static boolean isCalledBy(Command command, List<String> line) {
        List<String> words = List.of(command.name().split(" "));
        return line.size() >= words.size() && line.subList(0, words.size()).equals(words);
    }

    private ExitCode run(Command command, List<String> rest) throws AspenmoorException {
        OptionParser parser = Options.common();
        command.declare(parser);
        OptionSet options = parse(parser, command, rest);
        if (options.has(Options.HELP)) {
            printHelp(parser, command);
            return ExitCode.DONE;
        }
        if (options.has(Options.VERSION)) {
            return printVersion();
        }
        List<String> arguments =
                options.nonOptionArguments().stream().map(Object::toString).toList();
        return command.run(new Invocation(command.name(), terminal, options, arguments));
    }

    private static OptionSet parse(OptionParser parser, Command command, List<String> rest) throws UsageException {
        try {
            return parser.parse(rest.toArray(String[]::new));
        } catch (OptionException wrong) {
            throw new UsageException(wrong.getMessage() + ".", command.name());
        }
    }

    private ExitCode printVersion() {
        terminal.out().println("aspenmoor " + Aspenmoor.VERSION);
        return ExitCode.DONE;
    }

    private void printOverview() {
        terminal.out().println("Usage: aspenmoor COMMAND [ARGUMENTS] [OPTIONS]");
        terminal.out().println();
        Table table = new Table("command", "what it does");
        for (Command command : commands) {
            table.row((command.name() + " " + command.arguments()).strip(), command.summary());
        }
        table.print(terminal.out());
        terminal.out().println();
        terminal.out()
                .println("aspenmoor COMMAND --help shows a command's options; docs/OPERATIONS.md the exit codes.");
    }

    private void printHelp(OptionParser parser, Command command) {
        terminal.out().println("Usage: aspenmoor " + (command.name() + " " + command.arguments()).strip());
        terminal.out().println(command.summary());
        terminal.out().println();
        try {
            parser.printHelpOn(terminal.out());
        } catch (IOException closed) {
            terminal.error().println("aspenmoor: The help cannot be printed.");
        }
    }
}
