package org.aspenmoor.internal.store.client;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.Flow;

/** Gives up a body that nobody reads, so that its connection is closed. */
public final class DiscardingSubscriber implements Flow.Subscriber<List<ByteBuffer>> {
    @Override
    public void onSubscribe(Flow.Subscription subscription) {
        subscription.cancel();
    }

    @Override
    public void onNext(List<ByteBuffer> item) {
        // Nothing is asked for.
    }

    @Override
    public void onError(Throwable throwable) {
        // The answer's status was enough.
    }

    @Override
    public void onComplete() {
        // The answer's status was enough.
    }
}
