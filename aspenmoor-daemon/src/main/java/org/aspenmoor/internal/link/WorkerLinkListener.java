package org.aspenmoor.internal.link;

import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Function;
import org.aspenmoor.internal.wire.v1.Frame;

/**
 * Turns what happens on links into messages of a duty. Putting a message in waits for room in the duty's ring, which slows
 * the network down where the duty lags.
 *
 * @param <M> the duty's messages
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
