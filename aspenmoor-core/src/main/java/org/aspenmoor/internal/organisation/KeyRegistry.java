package org.aspenmoor.internal.organisation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The organisations of one configuration by their keys; immutable. */
public final class KeyRegistry {
    private static final KeyRegistry NOT_CONFIGURED = new KeyRegistry(Optional.empty());

    private final boolean configured;
    private final int organisationCount;
    private final Map<ApiKey, Organisation> organisationsByKey = new HashMap<>();
    private final Set<ApiKey> sharedKeys = new HashSet<>();

    private KeyRegistry(Optional<List<OrganisationKeys>> organisations) {
        this.configured = organisations.isPresent();
        this.organisationCount = organisations.map(List::size).orElse(0);
        organisations.orElse(List.of()).forEach(this::add);
        // Nobody can tell whose request it is. Guessing would charge one organisation for the requests of another.
        sharedKeys.forEach(organisationsByKey::remove);
    }

    /** Returns the registry of a configuration without organisations, under which no request needs a key. */
    public static KeyRegistry notConfigured() {
        return NOT_CONFIGURED;
    }

    /** Returns the registry of a configuration with these organisations; an empty list denies all requests. */
    public static KeyRegistry of(List<OrganisationKeys> organisations) {
        return new KeyRegistry(Optional.of(organisations));
    }

    /** Returns whether a request with this key may be served. */
    public Authorisation authorise(PresentedKey presented, boolean openRoute) {
        if (!configured) {
            return new Authorisation.NotConfigured();
        }
        Authorisation authorisation = switch (presented) {
            case PresentedKey.Missing missing -> new Authorisation.Denied(Authorisation.Reason.KEY_MISSING);
            case PresentedKey.Malformed malformed -> new Authorisation.Denied(Authorisation.Reason.KEY_MALFORMED);
            case PresentedKey.Given given -> authorise(given.key());
        };
        boolean denied = authorisation instanceof Authorisation.Denied;
        return denied && openRoute ? new Authorisation.Anonymous() : authorisation;
    }

    /** Returns the number of organisations. */
    public int organisationCount() {
        return organisationCount;
    }

    /** Returns the number of valid keys. */
    public int keyCount() {
        return organisationsByKey.size();
    }

    /** Returns the number of keys that are invalid because several organisations have them. */
    public int sharedKeyCount() {
        return sharedKeys.size();
    }

    private Authorisation authorise(ApiKey key) {
        Organisation organisation = organisationsByKey.get(key);
        return organisation == null
                ? new Authorisation.Denied(Authorisation.Reason.KEY_UNKNOWN)
                : new Authorisation.Granted(organisation);
    }

    private void add(OrganisationKeys organisation) {
        for (ApiKey key : organisation.keys()) {
            Organisation previous = organisationsByKey.put(key, organisation.organisation());
            if (previous != null && !previous.equals(organisation.organisation())) {
                sharedKeys.add(key);
            }
        }
    }
}
