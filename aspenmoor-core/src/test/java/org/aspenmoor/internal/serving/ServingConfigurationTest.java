package org.aspenmoor.internal.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.aspenmoor.internal.organisation.KeyRegistry;
import org.testng.annotations.Test;

public class ServingConfigurationTest {
    private final ServingConfiguration configuration = new ServingConfiguration(
            3,
            List.of(route("short", "/a/"), route("long", "/a/b/"), route("other", "/c/")),
            List.of(),
            ConnectionLimits.defaults(),
            KeyRegistry.notConfigured());

    @Test
    public void should_match_the_longest_prefix_of_the_host() {
        assertEquals(
                configuration.match("HOUSE.example", "/a/b/c").orElseThrow().name(), "long");
        assertEquals(configuration.match("house.example", "/a/c").orElseThrow().name(), "short");
    }

    @Test
    public void should_match_nothing_when_the_host_or_path_differs() {
        assertTrue(configuration.match("elsewhere.example", "/a/").isEmpty());
        assertTrue(configuration.match("house.example", "/b/").isEmpty());
        assertTrue(configuration.match("house.example", "/a").isEmpty());
    }

    @Test
    public void should_split_a_route_by_weight() {
        Route split = new Route(
                "split",
                "house.example",
                "/s/",
                RetryRule.REPEATABLE,
                false,
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                1,
                0,
                false,
                List.of(new RouteTarget("many", 90), new RouteTarget("none", 0), new RouteTarget("few", 10)));

        assertEquals(split.serviceFor(0.0), "many");
        assertEquals(split.serviceFor(0.899), "many");
        assertEquals(split.serviceFor(0.9), "few");
        assertEquals(split.serviceFor(0.999), "few");
    }

    private static Route route(String name, String prefix) {
        return new Route(
                name,
                "house.example",
                prefix,
                RetryRule.REPEATABLE,
                false,
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                1,
                0,
                false,
                List.of(new RouteTarget("service", 1)));
    }
}
