package org.aspenmoor.internal.store.client;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Flow;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Passes the lines of a stream to one reading thread.
 *
 * <p>Lines are requested one at a time, so that a slow listener slows the store down instead of filling the memory.
 */
final class LineSubscriber implements Flow.Subscriber<String> {
    private final BlockingQueue<Optional<String>> ready = new ArrayBlockingQueue<>(2);
    private final AtomicReference<Flow.Subscription> subscription = new AtomicReference<>();
    private volatile Throwable failure;

    @Override
    public void onSubscribe(Flow.Subscription opened) {
        subscription.set(opened);
        opened.request(1);
    }

    @Override
    public void onNext(String line) {
        ready.add(Optional.of(line));
    }

    @Override
    public void onError(Throwable cause) {
        failure = cause;
        ready.add(Optional.empty());
    }

    @Override
    public void onComplete() {
        ready.add(Optional.empty());
    }

    /** Waits for the next line; null if none arrives within the given time, empty at the end of the stream. */
    Optional<String> next(Duration timeout) throws InterruptedException {
        return ready.poll(timeout.toNanos(), TimeUnit.NANOSECONDS);
    }

    void requestNext() {
        subscription.get().request(1);
    }

    void cancel() {
        Flow.Subscription opened = subscription.get();
        if (opened != null) {
            opened.cancel();
        }
    }

    Optional<Throwable> failure() {
        return Optional.ofNullable(failure);
    }
}
