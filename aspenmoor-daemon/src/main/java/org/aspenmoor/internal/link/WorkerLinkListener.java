package org.aspenmoor.internal.link;

import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Function;
import org.aspenmoor.internal.wire.v1.Frame;

/**
 * Converts link events to messages of a worker. Adding a message waits for space in the worker's ring buffer, so that a
 * worker that falls behind slows the network thread down.
 *
 * @param <M> the type of the worker's messages
 */
public final class WorkerLinkListener<M> implements LinkListener {
    private final Consumer<M> worker;
    private final Function<Link, M> opened;
    private final BiFunction<Link, Frame, M> received;
    private final BiFunction<Link, String, M> closed;

    public WorkerLinkListener(
            Consumer<M> worker,
            Function<Link, M> opened,
            BiFunction<Link, Frame, M> received,
            BiFunction<Link, String, M> closed) {
        this.worker = worker;
        this.opened = opened;
        this.received = received;
        this.closed = closed;
    }

    @Override
    public void opened(Link link) {
        worker.accept(opened.apply(link));
    }

    @Override
    public void received(Link link, Frame frame) {
        worker.accept(received.apply(link, frame));
    }

    @Override
    public void closed(Link link, String cause) {
        worker.accept(closed.apply(link, cause));
    }
}
