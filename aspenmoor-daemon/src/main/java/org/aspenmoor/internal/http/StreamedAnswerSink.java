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
 * Streams an answer to the caller in chunks, as fast as its connection accepts them.
 *
 * <p>The number of chunks buffered here is bounded by the credit that the entry granted to the agent; each chunk that
 * the connection accepts frees credit for one more.
 */
final class StreamedAnswerSink implements CallerSink, Publisher<ByteBuf>, Subscription {
    private final CompletableFuture<AnswerStart> answerStart = new CompletableFuture<>();
    private final CompletionFormatter formatter;
    private final Runnable onConsumed;
    private final Runnable closeConnection;
    private final int reportInterval;
    private final Deque<String> chunks = new ArrayDeque<>();
    private Optional<Subscriber<? super ByteBuf>> subscriber = Optional.empty();
    private long demand;
    private int consumed;
    private boolean finished;
    private boolean aborted;
    private boolean completed;
    private boolean emitting;

    StreamedAnswerSink(
            CompletionFormatter formatter, Runnable onConsumed, Runnable closeConnection, int reportInterval) {
        this.formatter = formatter;
        this.onConsumed = onConsumed;
        this.closeConnection = closeConnection;
        this.reportInterval = reportInterval;
    }

    CompletableFuture<AnswerStart> answerStart() {
        return answerStart;
    }

    @Override
    public void onText(String text) {
        enqueueChunk(formatter.chunkEvent(text));
        answerStart.complete(new AnswerStart.StreamStarted());
        drain();
    }

    @Override
    public void onGenerationComplete(String finishReason, int promptTokens, int outputTokens) {
        synchronized (this) {
            chunks.addLast(formatter.endEvent(finishReason, promptTokens, outputTokens));
            finished = true;
        }
        answerStart.complete(new AnswerStart.StreamStarted());
        drain();
    }

    @Override
    public void onPlainAnswer(PlainAnswer answer) {
        answerStart.complete(new AnswerStart.PlainServiceAnswer(answer));
    }

    @Override
    public void onRefused(Outcome.NotRun refusal) {
        answerStart.complete(new AnswerStart.Refused(refusal));
    }

    // An aborted answer must not look complete: it ends with an error event and without the end marker, and the
    // connection is closed without the last chunk of the chunked encoding.
    @Override
    public void onUnknown(Outcome.Unknown unknown) {
        if (answerStart.complete(new AnswerStart.UnknownOutcome(unknown))) {
            return;
        }
        synchronized (this) {
            chunks.addLast(formatter.errorEvent(unknown.detail()));
            aborted = true;
        }
        drain();
    }

    @Override
    public synchronized int takeConsumedPieces() {
        int count = consumed;
        consumed = 0;
        return count;
    }

    @Override
    public synchronized boolean isWaitingForCaller() {
        return !chunks.isEmpty();
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
        chunks.clear();
    }

    private synchronized void enqueueChunk(String chunk) {
        if (!completed) {
            chunks.addLast(chunk);
        }
    }

    // Called by two threads, the event loop's with a chunk and the connection's with demand; only one emits at a time.
    private void drain() {
        synchronized (this) {
            if (emitting || subscriber.isEmpty()) {
                return;
            }
            emitting = true;
        }
        Optional<String> next = nextChunk();
        while (next.isPresent()) {
            subscriber.get().onNext(Unpooled.copiedBuffer(next.get(), StandardCharsets.UTF_8));
            next = nextChunk();
        }
    }

    private Optional<String> nextChunk() {
        boolean reportDue = false;
        Optional<String> next = Optional.empty();
        boolean end = false;
        synchronized (this) {
            if (demand > 0 && !chunks.isEmpty()) {
                demand--;
                consumed++;
                reportDue = consumed == reportInterval;
                next = Optional.of(chunks.removeFirst());
            } else {
                emitting = false;
                end = chunks.isEmpty() && (finished || aborted) && !completed;
                completed |= end;
            }
        }
        if (reportDue) {
            onConsumed.run();
        }
        if (end) {
            endStream();
        }
        return next;
    }

    private void endStream() {
        if (aborted) {
            closeConnection.run();
        } else {
            subscriber.ifPresent(Subscriber::onComplete);
        }
    }
}
