package org.aspenmoor.internal.gateway.log;

import org.aspenmoor.internal.store.client.StoreGeneration;

/** Writes what the store's answers tell of the generation of its history. */
public final class GenerationLog implements StoreGeneration.Listener {
    private final DecisionLog log;

    public GenerationLog(DecisionLog log) {
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
    public void generationDecreased(long before, long told) {
        log.notable("store-generation-not-believed")
                .with("generation", before)
                .with("told", told)
                .write();
    }

    @Override
    public void generationUnreadable(String written) {
        log.notable("store-generation-unreadable").with("written", written).write();
    }
}
