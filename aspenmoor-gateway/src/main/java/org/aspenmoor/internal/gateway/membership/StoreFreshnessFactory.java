package org.aspenmoor.internal.gateway.membership;

import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.internal.gateway.settings.GatewaySettings;
import org.aspenmoor.internal.serving.freshness.CollectionFreshness;
import org.aspenmoor.internal.serving.freshness.FreshnessBounds;
import org.aspenmoor.internal.serving.freshness.ObservedCollection;
import org.aspenmoor.internal.serving.freshness.RegularPolling;
import org.aspenmoor.internal.serving.freshness.StoreFreshness;

/** Creates the {@link StoreFreshness} of an entry from its settings. */
public final class StoreFreshnessFactory {
    /**
     * Part of the bound for which a poll for changes of the servers waits at most, so that the list is confirmed often
     * enough where servers do not change.
     */
    private static final int SERVER_WAIT_PART = 5;

    private StoreFreshnessFactory() {}

    /**
     * Creates it.
     *
     * @param callTimeout time after which a call to the store counts as failed
     */
    public static StoreFreshness create(GatewaySettings settings, Duration callTimeout) {
        Duration wait = settings.watchPollWait();
        Duration pause = settings.serverChangePause();
        Optional<FreshnessBounds> configurationBounds =
                settings.storeBounds().configuration().map(bound -> new FreshnessBounds(bound, callTimeout, wait));
        Optional<FreshnessBounds> serverBounds =
                settings.storeBounds().servers().map(bound -> new FreshnessBounds(bound, callTimeout, pause));
        return new StoreFreshness(
                new CollectionFreshness(
                        settings.process(),
                        ObservedCollection.CONFIGURATION,
                        new RegularPolling(wait, Duration.ZERO),
                        configurationBounds),
                new CollectionFreshness(
                        settings.process(),
                        ObservedCollection.SERVERS,
                        new RegularPolling(serverWait(settings), pause),
                        serverBounds));
    }

    private static Duration serverWait(GatewaySettings settings) {
        Duration wait = settings.watchPollWait();
        return settings.storeBounds()
                .servers()
                .map(bound -> bound.dividedBy(SERVER_WAIT_PART))
                .filter(longest -> longest.compareTo(wait) < 0)
                .orElse(wait);
    }
}
