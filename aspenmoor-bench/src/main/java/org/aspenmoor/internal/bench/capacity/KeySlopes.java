package org.aspenmoor.internal.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.organisation.ApiKey;
import org.aspenmoor.internal.organisation.Authorisation;
import org.aspenmoor.internal.organisation.KeyRegistry;
import org.aspenmoor.internal.organisation.Organisation;
import org.aspenmoor.internal.organisation.OrganisationKeys;
import org.aspenmoor.internal.organisation.PresentedKey;

/** Memory and processor time of the keys of organisations. */
final class KeySlopes {
    private static final List<Integer> KEYS = List.of(1250, 2500, 5000, 10_000);
    private static final List<Integer> LOOKUPS = List.of(25_000, 50_000, 100_000, 200_000);
    private static final int KEYS_PER_ORGANISATION = 3;
    private static final int KEYS_LOOKED_UP = 10_000;

    private final SlopeMeter meter;
    private long consumed;

    KeySlopes(SlopeMeter meter) {
        this.meter = meter;
    }

    void measure() {
        meter.memory(SlopeName.HEAP_PER_KEY, KEYS, keys -> KeyRegistry.of(organisations(keys)));
        meter.processor(SlopeName.APPLY_KEY, KEYS, this::apply);
        meter.processor(SlopeName.LOOK_UP_KEY, LOOKUPS, this::lookUp);
    }

    /** Returns a number that depends on all work done, so that none of it can be left out. */
    long consumed() {
        return consumed;
    }

    private Runnable apply(int keys) {
        List<OrganisationKeys> organisations = organisations(keys);
        return () -> consumed += KeyRegistry.of(organisations).keyCount();
    }

    private Runnable lookUp(int lookups) {
        KeyRegistry registry = KeyRegistry.of(organisations(KEYS_LOOKED_UP));
        return () -> {
            for (int number = 0; number < lookups; number++) {
                PresentedKey presented = new PresentedKey.Given(key(number * 7 % (2 * KEYS_LOOKED_UP)));
                consumed += registry.authorise(presented, false) instanceof Authorisation.Granted ? 1 : 0;
            }
        };
    }

    private static List<OrganisationKeys> organisations(int keys) {
        List<OrganisationKeys> organisations = new ArrayList<>();
        for (int first = 0; first < keys; first += KEYS_PER_ORGANISATION) {
            List<ApiKey> own = new ArrayList<>();
            for (int number = first; number < Math.min(keys, first + KEYS_PER_ORGANISATION); number++) {
                own.add(key(number));
            }
            Organisation organisation = new Organisation("organisation-" + first, Optional.of(1));
            organisations.add(new OrganisationKeys(organisation, own));
        }
        return organisations;
    }

    private static ApiKey key(int number) {
        return new ApiKey("key-of-twenty-letters-" + number);
    }
}
