package org.aspenmoor.internal.bench.soak;

import java.util.ArrayList;
import java.util.List;
import org.aspenmoor.internal.fake.FakeEngine;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;

/** One house: its entries, engines and plain services. */
final class SoakHouse {
    private final SoakWorld world;
    private final String team;
    private final List<EntryProcess> entries = new ArrayList<>();
    private final List<SoakEngine> engines = new ArrayList<>();
    private final List<SoakService> services = new ArrayList<>();
    private int started;

    SoakHouse(SoakWorld world, String team) {
        this.world = world;
        this.team = team;
    }

    /** Starts everything; every other engine checks fencing numbers. */
    void start(int entryCount, int engineCount, int serviceCount) {
        for (int index = 0; index < engineCount; index++) {
            FakeEngine engine = new FakeEngine(team + "-engine-" + index, index % 2 == 0);
            engine.addArrivalListener(world.orders()::arrived);
            engines.add(new SoakEngine(world, this, engine));
        }
        for (int index = 0; index < serviceCount; index++) {
            services.add(new SoakService(world, team + "-desk-" + index));
        }
        for (int index = 0; index < entryCount; index++) {
            entries.add(newEntry());
        }
    }

    String team() {
        return team;
    }

    ObjectKey planKey() {
        return new ObjectKey(ObjectKind.ROLE_PLAN, team, "drafting");
    }

    List<EntryProcess> entries() {
        return entries;
    }

    List<SoakEngine> engines() {
        return engines;
    }

    List<SoakService> services() {
        return services;
    }

    /** Starts processes anew where one has died. */
    void tidy() {
        entries.replaceAll(entry -> entry.dead() ? newEntry() : entry);
        engines.forEach(SoakEngine::tidy);
        services.forEach(SoakService::tidy);
    }

    /** Checks that at most one entry believes that it may plan. */
    void checkPlanners() {
        long deciding = entries.stream()
                .filter(entry -> !entry.dead() && entry.mayDecide())
                .count();
        if (deciding > 1) {
            world.violations().report(deciding + " entries of " + team + " may plan at once");
        }
    }

    private EntryProcess newEntry() {
        started++;
        return new EntryProcess(world, this, team + "-entry#" + started);
    }
}
