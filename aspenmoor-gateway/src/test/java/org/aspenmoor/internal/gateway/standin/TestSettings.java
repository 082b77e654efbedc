package org.aspenmoor.internal.gateway.standin;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.internal.gateway.settings.DutySettings;
import org.aspenmoor.internal.gateway.settings.GatewaySettings;
import org.aspenmoor.internal.gateway.settings.RetrySettings;
import org.aspenmoor.internal.gateway.settings.StoreBounds;
import org.aspenmoor.internal.routing.EngineSpeed;
import org.aspenmoor.internal.serving.PlacementSettings;

/** The settings of gateways under test. */
final class TestSettings {
    /** A process that has just started uses a small part of its slack; this much of it allows retries in all tests. */
    static final RetrySettings AMPLE_RETRIES = new RetrySettings(1, 1500, Duration.ofSeconds(10), 1);

    static final RetrySettings NO_RETRIES = new RetrySettings(0, 0, Duration.ofSeconds(10), 1);

    private static final long MAX_BUFFERED_BYTES = 24L * 1024 * 1024;

    private TestSettings() {}

    static GatewaySettings create(
            String process, InetSocketAddress callers, Optional<DutySettings> duties, RetrySettings retries) {
        return create(process, callers, duties, retries, StoreBounds.NONE);
    }

    static GatewaySettings create(
            String process,
            InetSocketAddress callers,
            Optional<DutySettings> duties,
            RetrySettings retries,
            StoreBounds bounds) {
        PlacementSettings placement =
                new PlacementSettings(TestGateway.LOCAL_DATA_CENTRE, EngineSpeed.defaults(), 0.5, 0);
        return new GatewaySettings(
                process,
                callers,
                anyFreePort(),
                "/ready",
                anyFreePort(),
                anyFreePort(),
                URI.create("http://127.0.0.1/"),
                Duration.ofSeconds(1),
                Duration.ofMillis(100),
                bounds,
                Duration.ofSeconds(8),
                8 * 1024 * 1024,
                MAX_BUFFERED_BYTES,
                placement,
                Duration.ofSeconds(3),
                duties,
                retries);
    }

    static InetSocketAddress anyFreePort() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }
}
