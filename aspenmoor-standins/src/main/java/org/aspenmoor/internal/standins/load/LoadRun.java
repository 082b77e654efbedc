package org.aspenmoor.internal.standins.load;

import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** Sends generated requests on a fixed number of threads and checks their answers. */
public final class LoadRun {
    private final LoadSettings settings;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    public LoadRun(LoadSettings settings) {
        this.settings = settings;
    }

    /** Sends all requests, reads the ledgers and returns the report. */
    public LoadReport run() throws InterruptedException {
        String team = settings.documents().getFirst().team();
        RequestGenerator generator =
                new RequestGenerator(settings.documents(), new Random(settings.seed()), team + "-" + settings.seed());
        List<RequestResult> results = sendAll(generator.generate(settings.requests()));
        return new LoadReport(team, results, Ledgers.read(client, settings.ledgers()));
    }

    private List<RequestResult> sendAll(List<PlannedRequest> planned) throws InterruptedException {
        RequestSender sender = new RequestSender(
                client, settings.entries(), settings.token(), settings.maxAttempts(), settings.timeout());
        List<RequestResult> results = Collections.synchronizedList(new ArrayList<>());
        AtomicInteger next = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int number = 0; number < settings.concurrency(); number++) {
            threads.add(Thread.ofVirtual().name("caller-" + number).start(() -> {
                sendRemaining(planned, next, sender, results);
            }));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return results;
    }

    private void sendRemaining(
            List<PlannedRequest> planned, AtomicInteger next, RequestSender sender, List<RequestResult> results) {
        try {
            for (int index = next.getAndIncrement(); index < planned.size(); index = next.getAndIncrement()) {
                RequestResult first = sender.send(planned.get(index));
                results.add(first);
                if (settings.repeatKeys()
                        && first.planned() instanceof PlannedRequest.Creation creation
                        && creation.idempotencyKey().isPresent()) {
                    results.add(sendAgain(first, creation, sender));
                }
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends a call again with the same idempotency key; the answer must be the recorded one of the first call. */
    private static RequestResult sendAgain(RequestResult first, PlannedRequest.Creation creation, RequestSender sender)
            throws InterruptedException {
        RequestResult second = sender.send(new PlannedRequest.Repetition(creation));
        boolean bothAnswered = first.end() == RequestEnd.ANSWERED && second.end() == RequestEnd.ANSWERED;
        if (bothAnswered && !first.recordId().equals(second.recordId())) {
            String detail = "The second answer for the same idempotency key has id " + second.recordId()
                    + " instead of " + first.recordId();
            return second.withEnd(RequestEnd.BROKEN, detail);
        }
        return second;
    }
}
