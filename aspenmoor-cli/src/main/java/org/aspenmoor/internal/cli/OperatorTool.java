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

/** Selects the command that matches the command line, runs it and reports its errors. */
public final class OperatorTool {
    private final Terminal terminal;
    private final List<Command> commands;

    public OperatorTool(Terminal terminal) {
        this.terminal = terminal;
        List<Command> operations = List.of(
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
        this.commands = Stream.concat(operations.stream(), Stream.of(new CompletionCommand(operations)))
                .toList();
    }

    /** Runs one command line and returns its result; errors are printed to the error stream. */
    public ExitCode run(String... arguments) {
        boolean json = Arrays.asList(arguments).contains("--" + Options.JSON);
        try {
            return dispatch(List.of(arguments));
        } catch (AspenmoorException error) {
            return new ErrorReporter(terminal.error(), json).report(error);
        }
    }

    private ExitCode dispatch(List<String> commandLine) throws AspenmoorException {
        if (commandLine.isEmpty() || commandLine.getFirst().equals("--" + Options.HELP)) {
            printOverview();
            return commandLine.isEmpty() ? ExitCode.USAGE : ExitCode.DONE;
        }
        if (commandLine.getFirst().equals("--" + Options.VERSION)) {
            return printVersion();
        }
        Command command = findCommand(commandLine)
                .orElseThrow(() -> new UsageException(
                        "No command that starts with \"" + commandLine.getFirst() + "\" matches the command line.",
                        String.join(" ", commandLine),
                        "Run \"aspenmoor --help\" for the list of commands."));
        int wordCount = command.name().split(" ").length;
        return run(command, commandLine.subList(wordCount, commandLine.size()));
    }

    private Optional<Command> findCommand(List<String> commandLine) {
        return commands.stream()
                .filter(command -> matches(command, commandLine))
                .max(Comparator.comparingInt(command -> command.name().length()));
    }

    private static boolean matches(Command command, List<String> commandLine) {
        List<String> words = List.of(command.name().split(" "));
        return commandLine.size() >= words.size()
                && commandLine.subList(0, words.size()).equals(words);
    }

    private ExitCode run(Command command, List<String> remaining) throws AspenmoorException {
        OptionParser parser = Options.commonParser();
        command.declareOptions(parser);
        OptionSet options = parse(parser, command, remaining);
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

    private static OptionSet parse(OptionParser parser, Command command, List<String> remaining) throws UsageException {
        try {
            return parser.parse(remaining.toArray(String[]::new));
        } catch (OptionException invalid) {
            throw new UsageException(invalid.getMessage() + ".", command.name());
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
            table.addRow((command.name() + " " + command.argumentSyntax()).strip(), command.summary());
        }
        table.print(terminal.out());
        terminal.out().println();
        terminal.out()
                .println("Run aspenmoor COMMAND --help for the options; see docs/OPERATIONS.md for the exit codes.");
    }

    private void printHelp(OptionParser parser, Command command) {
        terminal.out().println("Usage: aspenmoor " + (command.name() + " " + command.argumentSyntax()).strip());
        terminal.out().println(command.summary());
        terminal.out().println();
        try {
            parser.printHelpOn(terminal.out());
        } catch (IOException closed) {
            terminal.error().println("aspenmoor: Failed to print the help.");
        }
    }
}
