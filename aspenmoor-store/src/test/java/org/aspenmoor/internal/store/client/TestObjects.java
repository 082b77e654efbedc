package org.aspenmoor.internal.store.client;

import java.time.Duration;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.StoredObject;

/** Objects and settings shared by several tests. */
final class TestObjects {
    static final ObjectKey PLAN = new ObjectKey(ObjectKind.ROLE_PLAN, "seitkali", "drafting.almaty-1");

    private TestObjects() {}

    static String json(String name, String version, String spec) {
        return "{\"metadata\":{\"namespace\":\"seitkali\",\"name\":\"" + name + "\",\"resourceVersion\":\"" + version
                + "\"},\"spec\":" + spec + "}";
    }

    static String planJson(String version, String spec) {
        return json(PLAN.name(), version, spec);
    }

    static String event(String type, String object) {
        return "{\"type\":\"" + type + "\",\"object\":" + object + "}";
    }

    static StoredObject plan(String version, String value) {
        return new StoredObject(PLAN, version, value);
    }

    /** Returns settings with timeouts that expire only if a test hangs. */
    static StoreSettings longTimeouts() {
        Duration longTimeout = Duration.ofSeconds(30);
        return new StoreSettings(
                longTimeout,
                longTimeout,
                Duration.ofSeconds(4),
                Duration.ofMillis(50),
                Duration.ofSeconds(1),
                longTimeout,
                100,
                100);
    }

    /** Returns settings for a store that never responds to a call, with a short call timeout. */
    static StoreSettings shortCallTimeout() {
        return withTimeouts(Duration.ofMillis(200), Duration.ofSeconds(30));
    }

    /** Returns settings for a watch that never receives data, with a short idle timeout. */
    static StoreSettings shortWatchIdleTimeout() {
        return withTimeouts(Duration.ofSeconds(30), Duration.ofMillis(200));
    }

    private static StoreSettings withTimeouts(Duration callTimeout, Duration watchIdleTimeout) {
        StoreSettings settings = longTimeouts();
        return new StoreSettings(
                settings.connectTimeout(),
                callTimeout,
                settings.readDeadline(),
                settings.initialBackoff(),
                settings.maxBackoff(),
                watchIdleTimeout,
                settings.callsPerSecond(),
                settings.maxBurstCalls());
    }
}
