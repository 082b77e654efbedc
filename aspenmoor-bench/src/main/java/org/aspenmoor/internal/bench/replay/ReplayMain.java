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

/** The command line of the replay. */
public final class ReplayMain {
    private static final int MOST_THREADS = 3;

    private final ReplayOptions options;
    private final ReplayTable table = new ReplayTable(System.out);

    private ReplayMain(ReplayOptions options) {
        this.options = options;
    }

    /** Plays days; the exit code is 2 where an argument or a file is wrong. */
    public static void main(String[] arguments) {
        try {
            new ReplayMain(ReplayOptions.parse(arguments)).run();
        } catch (AspenmoorException wrong) {
            System.err.println(wrong.getMessage());
            System.exit(2);
        }
    }

    private void run() throws AspenmoorException {
        table.heading();
        for (Path file : options.customers()) {
            Customer read = new CustomerReader().read(file);
            for (double speed : options.engineSpeeds()) {
                Customer customer = read.changed(options.entries().orElse(read.entries()), speed);
                for (double load : options.loads()) {
                    play(customer, speed, load);
                }
            }
        }
    }

    private void play(Customer customer, double speed, double load) throws AspenmoorException {
        for (LoadDay day : customer.days()) {
            if (!options.days().isEmpty() && !options.days().contains(day.name())) {
                continue;
            }
            List<DayResult> results = play(customer, day.times(load));
            String label = String.format("%s %s load %.2f speed %.2f", customer.name(), day.name(), load, speed);
            table.print(label, results);
            if (options.kinds()) {
                table.printKinds(results);
            }
            if (options.plot().isPresent()) {
                ReplayPlot.write(options.plot().get(), results.getFirst());
            }
        }
    }

    private List<DayResult> play(Customer customer, LoadDay day) throws AspenmoorException {
        List<Future<DayResult>> running = new ArrayList<>();
        try (ExecutorService threads = Executors.newFixedThreadPool(MOST_THREADS)) {
            for (long seed = options.seed(); seed < options.seed() + options.seeds(); seed++) {
                ReplayRun run = new ReplayRun(customer, day, seed, options.off());
                running.add(threads.submit(run::play));
            }
            List<DayResult> results = new ArrayList<>();
            for (Future<DayResult> each : running) {
                results.add(each.get());
            }
            return results;
        } catch (InterruptedException | ExecutionException failed) {
            throw new AspenmoorException(
                    "A replayed day failed: " + failed.getMessage() + ".",
                    customer.name(),
                    "This is a fault of the replay; report it with the arguments used.",
                    failed);
        }
    }
}
