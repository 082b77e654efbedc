package org.aspenmoor.internal.organisation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

public class KeyRegistryTest {
    private static final Organisation HOUSE = new Organisation("house", Optional.of(0));
    private static final Organisation HALL = new Organisation("hall", Optional.empty());

    @Test
    public void should_grant_a_request_to_the_organisation_that_has_the_key() {
        KeyRegistry registry = registry(keysOf(HOUSE, "k1", "k2"), keysOf(HALL, "k3"));

        assertEquals(registry.authorise(given("k2"), false), new Authorisation.Granted(HOUSE));
        assertEquals(registry.authorise(given("k3"), false), new Authorisation.Granted(HALL));
        assertEquals(registry.keyCount(), 3);
    }

    @Test
    public void should_deny_a_request_without_a_valid_key() {
        KeyRegistry registry = registry(keysOf(HOUSE, "k1"), keysOf(HALL));

        assertEquals(
                registry.authorise(new PresentedKey.Missing(), false),
                new Authorisation.Denied(Authorisation.Reason.KEY_MISSING));
        assertEquals(
                registry.authorise(new PresentedKey.Malformed(), false),
                new Authorisation.Denied(Authorisation.Reason.KEY_MALFORMED));
        assertEquals(
                registry.authorise(given("K1"), false), new Authorisation.Denied(Authorisation.Reason.KEY_UNKNOWN));
    }

    @Test
    public void should_serve_open_routes_without_a_key_and_name_the_organisation_if_the_key_is_valid() {
        KeyRegistry registry = registry(keysOf(HOUSE, "k1"));

        assertEquals(registry.authorise(new PresentedKey.Missing(), true), new Authorisation.Anonymous());
        assertEquals(registry.authorise(given("unknown"), true), new Authorisation.Anonymous());
        assertEquals(registry.authorise(given("k1"), true), new Authorisation.Granted(HOUSE));
    }

    // Two organisations with one key: whichever were chosen, it would be charged for requests of the other.
    @Test
    public void should_deny_a_key_that_several_organisations_have() {
        KeyRegistry registry = registry(keysOf(HOUSE, "k1", "k1", "both"), keysOf(HALL, "both", "k3"));

        assertEquals(
                registry.authorise(given("both"), false), new Authorisation.Denied(Authorisation.Reason.KEY_UNKNOWN));
        assertEquals(registry.authorise(given("k1"), false), new Authorisation.Granted(HOUSE));
        assertEquals(registry.sharedKeyCount(), 1);
    }

    @Test
    public void should_need_no_key_only_when_no_organisations_are_configured() {
        assertEquals(KeyRegistry.notConfigured().authorise(given("k1"), false), new Authorisation.NotConfigured());
        assertEquals(
                registry().authorise(given("k1"), false), new Authorisation.Denied(Authorisation.Reason.KEY_UNKNOWN));
    }

    @Test
    public void should_rank_the_organisations_priority_before_that_of_the_route() {
        assertEquals(new Authorisation.Granted(HOUSE).priority(3), 0);
        assertEquals(new Authorisation.Granted(HALL).priority(3), 3);
        assertEquals(new Authorisation.NotConfigured().priority(3), 3);
    }

    @Test
    public void should_not_contain_the_secret_in_its_text() {
        assertFalse(given("k1").toString().contains("k1"));
        assertFalse(keysOf(HOUSE, "k1").toString().contains("k1"));
    }

    private static KeyRegistry registry(OrganisationKeys... organisations) {
        return KeyRegistry.of(List.of(organisations));
    }

    private static OrganisationKeys keysOf(Organisation organisation, String... secrets) {
        return new OrganisationKeys(
                organisation, List.of(secrets).stream().map(ApiKey::new).toList());
    }

    private static PresentedKey given(String secret) {
        return new PresentedKey.Given(new ApiKey(secret));
    }
}
