package org.aspenmoor.internal.daemon;

import java.util.random.RandomGenerator;
import org.aspenmoor.internal.settings.ProcessSettings;
import org.aspenmoor.internal.store.client.HttpObjectStore;
import org.aspenmoor.internal.store.client.StoreSettings;
import org.aspenmoor.internal.time.TimeSource;

/** Creates clients of the platform's object store. */
final class StoreConnections {
    private static final int BURST_SECONDS = 2;

    private StoreConnections() {}

    static StoreSettings settings(ProcessSettings process) {
        int burst = (int) Math.ceil(process.storeCallsPerSecond() * BURST_SECONDS);
        return StoreSettings.defaults().withBudget(process.storeCallsPerSecond(), burst);
    }

    static HttpObjectStore connect(ProcessSettings process, TimeSource time, RandomGenerator random) {
        return new HttpObjectStore(process.store(), time, random, settings(process));
    }
}
