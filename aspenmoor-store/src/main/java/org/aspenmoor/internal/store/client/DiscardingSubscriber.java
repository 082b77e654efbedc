package org.aspenmoor.internal.store.client;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.Flow;

/** Cancels a response body that is not read, so that its connection is closed. */
public final class DiscardingSubscriber implements Flow.Subscriber<List<ByteBuffer>> {
    @Override
    public void onSubscribe(Flow.Subscription subscription) {
        subscription.cancel();
    }

    @Override
    public void onNext(List<ByteBuffer> item) {
        // No items are requested.
    }

    @Override
    public void onError(Throwable throwable) {
        // Only the response status is used.
    }

    @Override
    public void onComplete() {
        // Only the response status is used.
    }
}
