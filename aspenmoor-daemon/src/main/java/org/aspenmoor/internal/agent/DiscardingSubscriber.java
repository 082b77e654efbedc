package org.aspenmoor.internal.agent;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.Flow;

/** Gives up a body nobody wants, so that its connection is released. */
final class DiscardingSubscriber implements Flow.Subscriber<List<ByteBuffer>> {
    @Override
    public void onSubscribe(Flow.Subscription subscription) {
        subscription.cancel();
    }

    @Override
    public void onNext(List<ByteBuffer> item) {
        // Cancelled before; nothing is asked for.
    }

    @Override
    public void onError(Throwable failure) {
        // The body is not wanted, broken or not.
    }

    @Override
    public void onComplete() {
        // Nothing to release.
    }
}
