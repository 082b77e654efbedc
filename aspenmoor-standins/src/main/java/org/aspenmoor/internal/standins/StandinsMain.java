package org.aspenmoor.internal.standins;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionException;
import org.aspenmoor.Aspenmoor;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.standins.command.AccountsCommand;
import org.aspenmoor.internal.standins.command.AskCommand;
import org.aspenmoor.internal.standins.command.EngineCommand;
import org.aspenmoor.internal.standins.command.HostCommand;
import org.aspenmoor.internal.standins.command.LoadCommand;
import org.aspenmoor.internal.standins.command.PutDocumentCommand;
import org.aspenmoor.internal.standins.command.ServiceCommand;
import org.aspenmoor.internal.standins.command.StoreCommand;
import org.aspenmoor.internal.standins.command.Subcommand;

/** Entry point of the stand-ins and their tools: {@code aspenmoor-standins SUBCOMMAND [options]}. */
public final class StandinsMain {
    private static final int FAILED = 1;
    private static final int INVALID_USAGE = 2;

    private final List<Subcommand> subcommands;
    private final PrintStream output;
    private final PrintStream errors;

    StandinsMain(List<Subcommand> subcommands, PrintStream output, PrintStream errors) {
        this.subcommands = subcommands;
        this.output = output;
        this.errors = errors;
    }

    /** Runs one subcommand and exits with its code. */
    public static void main(String[] arguments) {
        StandinsMain program = new StandinsMain(
                List.of(
                        new StoreCommand(),
                        new HostCommand(),
                        new EngineCommand(),
                        new ServiceCommand(),
                        new PutDocumentCommand(),
                        new AskCommand(),
                        new AccountsCommand(),
                        new LoadCommand()),
                System.out,
                System.err);
        System.exit(program.run(arguments));
    }

    int run(String... arguments) {
        if (arguments.length == 0 || arguments[0].equals("--help")) {
            printUsage(arguments.length == 0 ? errors : output);
            return arguments.length == 0 ? INVALID_USAGE : 0;
        }
        if (arguments[0].equals("--version")) {
            output.println("aspenmoor-standins " + Aspenmoor.VERSION);
            return 0;
        }
        Optional<Subcommand> chosen = subcommands.stream()
                .filter(subcommand -> subcommand.name().equals(arguments[0]))
                .findFirst();
        if (chosen.isEmpty()) {
            errors.println("Unknown subcommand '" + arguments[0] + "'.");
            printUsage(errors);
            return INVALID_USAGE;
        }
        return run(chosen.get(), Arrays.copyOfRange(arguments, 1, arguments.length));
    }

    private int run(Subcommand subcommand, String[] arguments) {
        try {
            return subcommand.run(output, arguments);
        } catch (OptionException invalidUsage) {
            errors.println(invalidUsage.getMessage());
            errors.println("  next:  aspenmoor-standins " + subcommand.name() + " --help");
            return INVALID_USAGE;
        } catch (AspenmoorException failure) {
            errors.println(failure.getMessage());
            return FAILED;
        } catch (IOException failure) {
            errors.println("aspenmoor-standins " + subcommand.name() + " failed: " + failure.getMessage());
            return FAILED;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return FAILED;
        }
    }

    private void printUsage(PrintStream stream) {
        stream.println("aspenmoor-standins SUBCOMMAND [options]");
        subcommands.forEach(subcommand -> stream.printf("  %-14s %s%n", subcommand.name(), subcommand.summary()));
        stream.println("Run a subcommand with --help for its options.");
    }
}
