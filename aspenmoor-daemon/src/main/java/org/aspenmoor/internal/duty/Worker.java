package org.aspenmoor.internal.duty;

import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.EventTranslatorOneArg;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import java.util.concurrent.atomic.LongAdder;
import org.jboss.logging.Logger;

/**
 * A named thread that handles the messages of a bounded ring buffer one after the other.
 *
 * @param <M> the type of the messages
 */
public final class Worker<M> implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger("duty");

    private final String name;
    private final MessageHandler<M> handler;
    private final Disruptor<RingSlot<M>> disruptor;
    private final RingBuffer<RingSlot<M>> ring;
    private final EventTranslatorOneArg<RingSlot<M>, M> translator = (slot, sequence, message) -> slot.put(message);
    private final LongAdder refused = new LongAdder();
    private final LongAdder failed = new LongAdder();

    public Worker(String name, int ringSize, MessageHandler<M> handler) {
        this.name = name;
        this.handler = handler;
        this.disruptor = new Disruptor<>(
                RingSlot::new, ringSize, this::newThread, ProducerType.MULTI, new BlockingWaitStrategy());
        EventHandler<RingSlot<M>> consumer = this::consume;
        disruptor.handleEventsWith(consumer);
        this.ring = disruptor.getRingBuffer();
    }

    /** Starts the thread. */
    public void start() {
        disruptor.start();
    }

    /** Adds a message; returns false without effect if the ring buffer is full. */
    public boolean offer(M message) {
        boolean accepted = ring.tryPublishEvent(translator, message);
        if (!accepted) {
            refused.increment();
        }
        return accepted;
    }

    /** Adds a message, waiting for space: the producer is slowed down, and no message is lost. */
    public void put(M message) {
        ring.publishEvent(translator, message);
    }

    /** Returns the current state, for a dump. */
    public WorkerState state() {
        long waiting = ring.getBufferSize() - ring.remainingCapacity();
        return new WorkerState(name, ring.getBufferSize(), waiting, refused.sum(), failed.sum());
    }

    /** Stops the thread after all messages in the ring buffer have been handled. */
    @Override
    public void close() {
        disruptor.shutdown();
    }

    private void consume(RingSlot<M> slot, long sequence, boolean endOfBatch) {
        slot.take().ifPresent(this::handleSafely);
        if (endOfBatch) {
            endBatchSafely();
        }
    }

    private void endBatchSafely() {
        try {
            handler.batchEnded();
        } catch (RuntimeException failure) {
            failed.increment();
            LOG.errorf(failure, "duty: worker %s failed at the end of a batch", name);
        }
    }

    private Thread newThread(Runnable task) {
        return Thread.ofPlatform().name("aspenmoor-" + name).daemon(true).unstarted(task);
    }

    // An exception that is not caught would end the thread, and with it every request of the process, unreported.
    private void handleSafely(M message) {
        try {
            handler.handle(message);
        } catch (RuntimeException failure) {
            failed.increment();
            LOG.errorf(
                    failure,
                    "duty: worker %s failed to handle a message of type %s",
                    name,
                    message.getClass().getSimpleName());
        }
    }
}
