package org.aspenmoor.internal.gateway.log;

import org.aspenmoor.internal.store.client.StoreGeneration;

/** Logs changes of the generation of the store's history that the store reports in its responses. */
public final class StoreGenerationLog implements StoreGeneration.Listener {
    private final DecisionLog log;

    public StoreGenerationLog(DecisionLog log) {
        this.log = log;
    }

    @Override
    public void generationIncreased(long before, long now) {
        log.notable("store-came-back-older")
                .with("generation", now)
                .with("before", before)
                .write();
    }

    @Override
    public void generationDecreased(long before, long reported) {
        log.notable("store-generation-not-believed")
                .with("generation", before)
                .with("told", reported)
                .write();
    }

    @Override
    public void generationUnreadable(String written) {
        log.notable("store-generation-unreadable").with("written", written).write();
    }
}
