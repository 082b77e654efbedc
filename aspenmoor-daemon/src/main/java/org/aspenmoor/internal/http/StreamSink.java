package org.aspenmoor.internal.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.aspenmoor.Outcome;
import org.aspenmoor.internal.entry.CallerSink;
import org.aspenmoor.internal.entry.PlainAnswer;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * Gives an answer to the caller piece by piece, as fast as its connection takes them.
 *
 * <p>The pieces held here are bounded by the credit that the entry gave the agent; a piece taken by the connection frees
 * credit for the next.
 */
final class StreamSink implements CallerSink, Publisher<ByteBuf>, Subscription {
    private final CompletableFuture<FirstSignal> signal = new CompletableFuture<>();
    private final CompletionEvents events;
    private final Runnable whenTaken;
    private final Runnable whenCut;
    private final int noticeEvery;
    private final Deque<String> pieces = new ArrayDeque<>();
    private Optional<Subscriber<? super ByteBuf>> subscriber = Optional.empty();
    private long demand;
    private int taken;
    private boolean finished;
    private boolean cut;
    private boolean completed;
    private boolean emitting;

    StreamSink(CompletionEvents events, Runnable whenTaken, Runnable whenCut, int noticeEvery) {
        this.events = events;
        this.whenTaken = whenTaken;
        this.whenCut = whenCut;
        this.noticeEvery = noticeEvery;
    }

    CompletableFuture<FirstSignal> signal() {
        return signal;
    }

    @Override
    public void onText(String text) {
        enqueue(events.piece(text));
        signal.complete(new FirstSignal.StreamBegins());
        drain();
    }

    @Override
    public void onGenerationComplete(String finishReason, int promptTokens, int outputTokens) {
        synchronized (this) {
            pieces.addLast(events.end(finishReason, promptTokens, outputTokens));
            finished = true;
        }
        signal.complete(new FirstSignal.StreamBegins());
        drain();
    }

    @Override
    public void onPlainAnswer(PlainAnswer answer) {
        signal.complete(new FirstSignal.Plain(answer));
    }

    @Override
    public void onRefused(Outcome.NotRun refusal) {
        signal.complete(new FirstSignal.Refused(refusal));
    }

    // A cut answer must not look like a whole one: it ends with an error event, without the end mark, and the
    // connection is closed without the last chunk of its encoding.
    @Override
    public void onUnknown(Outcome.Unknown unknown) {
        if (signal.complete(new FirstSignal.Lost(unknown))) {
            return;
        }
        synchronized (this) {
            pieces.addLast(events.error(unknown.detail()));
            cut = true;
        }
        drain();
    }

    @Override
    public synchronized int takeConsumedPieces() {
        int count = taken;
        taken = 0;
        return count;
    }

    @Override
    public synchronized boolean isWaitingForCaller() {
        return !pieces.isEmpty();
    }

    @Override
    public void subscribe(Subscriber<? super ByteBuf> newSubscriber) {
        synchronized (this) {
            subscriber = Optional.of(newSubscriber);
        }
        newSubscriber.onSubscribe(this);
    }

    @Override
    public void request(long count) {
        synchronized (this) {
            demand = demand + count < 0 ? Long.MAX_VALUE : demand + count;
        }
        drain();
    }

    @Override
    public synchronized void cancel() {
        completed = true;
        pieces.clear();
    }

    private synchronized void enqueue(String piece) {
        if (!completed) {
            pieces.addLast(piece);
        }
    }

    // Two threads may come here, the event loop's with a piece and the connection's with demand; one of them emits.
    private void drain() {
        synchronized (this) {
            if (emitting || subscriber.isEmpty()) {
                return;
            }
            emitting = true;
        }
        Optional<String> next = nextPiece();
        while (next.isPresent()) {
            subscriber.get().onNext(Unpooled.copiedBuffer(next.get(), StandardCharsets.UTF_8));
            next = nextPiece();
        }
    }

    private Optional<String> nextPiece() {
        boolean notice = false;
        Optional<String> next = Optional.empty();
        boolean end = false;
        synchronized (this) {
            if (demand > 0 && !pieces.isEmpty()) {
                demand--;
                taken++;
                notice = taken == noticeEvery;
                next = Optional.of(pieces.removeFirst());
            } else {
                emitting = false;
                end = pieces.isEmpty() && (finished || cut) && !completed;
                completed |= end;
            }
        }
        if (notice) {
            whenTaken.run();
        }
        if (end) {
            endStream();
        }
        return next;
    }

    private void endStream() {
        if (cut) {
            whenCut.run();
        } else {
            subscriber.ifPresent(Subscriber::onComplete);
        }
    }
}
