package org.aspenmoor.internal.bench.pathcost;

import java.io.IOException;
import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Runs the comparison and prints it as tables. */
public final class PathCostMain {
    private static final List<Integer> STREAMS = List.of(25, 50, 100, 200);
    private static final int WARM_UP_REQUESTS = 200;
    private static final int LONG_OUTPUT_TOKENS = 150;
    private static final int IDLE_SECONDS = 20;
    private static final int MOST_MINUTES = 5;

    private final PathCostOptions options;
    private final List<ProcessProbe> probes;
    private final HttpClient client;

    private PathCostMain(PathCostOptions options) {
        this.options = options;
        this.probes = options.processes().stream().map(ProcessProbe::new).toList();
        this.client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .executor(Executors.newVirtualThreadPerTaskExecutor())
                .build();
    }

    /** Runs the comparison; exits with 1 where any request failed. */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        System.exit(new PathCostMain(PathCostOptions.parse(arguments)).run() ? 0 : 1);
    }

    private boolean run() throws IOException, InterruptedException {
        report("idle, just started", IDLE_SECONDS, () -> TimeUnit.SECONDS.sleep(IDLE_SECONDS));
        Way warmUp = new Way("warm-up");
        both(options, warmUp, warmUp, WARM_UP_REQUESTS, options.concurrency());
        Way direct = new Way("engine directly");
        Way through = new Way("through entry and agent");
        report(
                "both ways at " + options.concurrency() + " at once each",
                0,
                () -> both(options, direct, through, options.requests(), options.concurrency()));
        printLatencies(direct, through);
        long failures = direct.failures() + through.failures();
        List<ProcessLoad> loads = probes.stream().map(ProcessLoad::new).toList();
        for (int streams : STREAMS) {
            for (ProcessLoad load : loads) {
                load.begin();
            }
            Way held = new Way(streams + " at once through entry and agent");
            report(streams + " streams at once", 0, () -> onlyThrough(held, streams));
            for (ProcessLoad load : loads) {
                load.end(streams, held.events());
            }
            System.out.println(held.row());
            failures += held.failures();
        }
        loads.forEach(ProcessLoad::print);
        report("idle again", IDLE_SECONDS, () -> TimeUnit.SECONDS.sleep(IDLE_SECONDS));
        return failures == 0;
    }

    private void printLatencies(Way direct, Way through) {
        System.out.println("| way | answers | failed | first token p50 | p99 | whole p50 | p99 |");
        System.out.println("| --- | ---: | ---: | ---: | ---: | ---: | ---: |");
        System.out.println(direct.row());
        System.out.println(through.row());
    }

    private void both(PathCostOptions told, Way direct, Way through, int requests, int concurrency)
            throws InterruptedException {
        StreamedRequest sender = new StreamedRequest(client, told);
        List<Work> works = new ArrayList<>();
        AtomicInteger directNumber = new AtomicInteger();
        AtomicInteger throughNumber = new AtomicInteger();
        for (int worker = 0; worker < concurrency; worker++) {
            works.add(() -> repeat(directNumber, requests, number -> sender.send(direct, told.direct(), number)));
            works.add(() -> repeat(throughNumber, requests, number -> sender.send(through, told.through(), number)));
        }
        together(works);
    }

    private void onlyThrough(Way way, int streams) throws InterruptedException {
        PathCostOptions longer = new PathCostOptions(
                options.direct(),
                options.through(),
                options.token(),
                options.model(),
                LONG_OUTPUT_TOKENS,
                streams,
                streams,
                options.processes());
        StreamedRequest sender = new StreamedRequest(client, longer);
        List<Work> works = new ArrayList<>();
        for (int stream = 0; stream < streams; stream++) {
            int number = stream;
            works.add(() -> sender.send(way, longer.through(), number));
        }
        together(works);
    }

    private static void repeat(AtomicInteger next, int requests, NumberedWork work) throws InterruptedException {
        for (int number = next.getAndIncrement(); number < requests; number = next.getAndIncrement()) {
            work.run(number);
        }
    }

    private static void together(List<Work> works) throws InterruptedException {
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            works.forEach(work -> executor.submit(() -> {
                work.run();
                return true;
            }));
            executor.shutdown();
            if (!executor.awaitTermination(MOST_MINUTES, TimeUnit.MINUTES)) {
                throw new IllegalStateException("the requests did not end within " + MOST_MINUTES + " minutes");
            }
        }
    }

    private void report(String phase, double knownSeconds, Work work) throws IOException, InterruptedException {
        List<Double> before = new ArrayList<>();
        for (ProcessProbe probe : probes) {
            before.add(probe.processorSeconds());
        }
        long start = System.nanoTime();
        work.run();
        double seconds = knownSeconds > 0 ? knownSeconds : (System.nanoTime() - start) / 1e9;
        for (int index = 0; index < probes.size(); index++) {
            ProcessProbe probe = probes.get(index);
            double used = (probe.processorSeconds() - before.get(index)) / seconds;
            System.out.printf(
                    Locale.ROOT,
                    "| %s | %s | %.1f MB resident | %.1f MB at most | %.1f%% of a core | %.1f s |%n",
                    phase,
                    probe.name(),
                    probe.residentMegabytes(),
                    probe.mostResidentMegabytes(),
                    100 * used,
                    seconds);
        }
    }

    /** Something that takes a while. */
    @FunctionalInterface
    private interface Work {
        void run() throws InterruptedException;
    }

    /** One of many requests. */
    @FunctionalInterface
    private interface NumberedWork {
        void run(int number) throws InterruptedException;
    }
}
