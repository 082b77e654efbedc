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
 * A named thread that handles messages from a bounded ring, one after the other.
 *
 * @param <M> its messages
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

    /** Puts a message in if there is room; false, and nothing done, where the ring is full. */
    public boolean offer(M message) {
        boolean accepted = ring.tryPublishEvent(translator, message);
        if (!accepted) {
            refused.increment();
        }
        return accepted;
    }

    /** Puts a message in, waiting for room: the producer is slowed down instead of losing the message. */
    public void put(M message) {
        ring.publishEvent(translator, message);
    }

    /** Returns the duty's state for a dump. */
    public WorkerState state() {
        long waiting = ring.getBufferSize() - ring.remainingCapacity();
        return new WorkerState(name, ring.getBufferSize(), waiting, refused.sum(), failed.sum());
    }

    /** Ends the thread after what is in the ring was handled. */
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
            LOG.errorf(failure, "duty: %s failed at the end of a batch", name);
        }
    }

    private Thread newThread(Runnable task) {
        return Thread.ofPlatform().name("aspenmoor-" + name).daemon(true).unstarted(task);
    }

    // An error in one message would end the thread, and with it every request of the process, without a word.
    private void handleSafely(M message) {
        try {
            handler.handle(message);
        } catch (RuntimeException failure) {
            failed.increment();
            LOG.errorf(
                    failure, "duty: %s failed on %s", name, message.getClass().getSimpleName());
        }
    }
}
