package org.aspenmoor.internal.bench.replay;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.bench.replay.customer.Customer;
import org.aspenmoor.internal.bench.replay.customer.CustomerReader;
import org.aspenmoor.internal.bench.replay.customer.LoadDay;
import org.aspenmoor.internal.bench.replay.report.ReplayPlot;
import org.aspenmoor.internal.bench.replay.report.ReplayTable;
import org.aspenmoor.internal.bench.replay.run.DayResult;
import org.aspenmoor.internal.bench.replay.run.ReplayRun;

/** Command line of the load replay. */
public final class ReplayMain {
    private static final int MAX_THREADS = 3;

    private final ReplayOptions options;
    private final ReplayTable table = new ReplayTable(System.out);

    private ReplayMain(ReplayOptions options) {
        this.options = options;
    }

    /** Replays the selected days; exits with code 2 if an argument or a file is invalid. */
    public static void main(String[] arguments) {
        try {
            new ReplayMain(ReplayOptions.parse(arguments)).run();
        } catch (AspenmoorException exception) {
            System.err.println(exception.getMessage());
            System.exit(2);
        }
    }

    private void run() throws AspenmoorException {
        table.heading();
        for (Path file : options.customerFiles()) {
            Customer fromFile = new CustomerReader().read(file);
            for (double speed : options.engineSpeedFactors()) {
                Customer customer =
                        fromFile.withEntriesAndEngineSpeed(options.entries().orElse(fromFile.entries()), speed);
                for (double load : options.loadFactors()) {
                    replay(customer, speed, load);
                }
            }
        }
    }

    private void replay(Customer customer, double speed, double load) throws AspenmoorException {
        for (LoadDay day : customer.days()) {
            if (!options.dayNames().isEmpty() && !options.dayNames().contains(day.name())) {
                continue;
            }
            List<DayResult> results = replay(customer, day.scaledBy(load));
            String label = String.format("%s %s load %.2f speed %.2f", customer.name(), day.name(), load, speed);
            table.print(label, results);
            if (options.printKinds()) {
                table.printKinds(results);
            }
            if (options.plotFile().isPresent()) {
                ReplayPlot.write(options.plotFile().get(), results.getFirst());
            }
        }
    }

    private List<DayResult> replay(Customer customer, LoadDay day) throws AspenmoorException {
        List<Future<DayResult>> futures = new ArrayList<>();
        try (ExecutorService threads = Executors.newFixedThreadPool(MAX_THREADS)) {
            for (long seed = options.firstSeed(); seed < options.firstSeed() + options.seedCount(); seed++) {
                ReplayRun run = new ReplayRun(customer, day, seed, options.disabled());
                futures.add(threads.submit(run::run));
            }
            List<DayResult> results = new ArrayList<>();
            for (Future<DayResult> future : futures) {
                results.add(future.get());
            }
            return results;
        } catch (InterruptedException | ExecutionException exception) {
            throw new AspenmoorException(
                    "Could not replay a day: " + exception.getMessage() + ".",
                    customer.name(),
                    "This is a fault in the replay; report it together with the arguments used.",
                    exception);
        }
    }
}
