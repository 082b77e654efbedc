package org.aspenmoor.internal.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Engines with the same role and the same loaded model or adapter; all operations take constant time. */
final class EnginePool {
    private final List<EngineView> engines = new ArrayList<>();
    private final Map<EngineView, Integer> positions = new HashMap<>();

    void add(EngineView engine) {
        if (positions.putIfAbsent(engine, engines.size()) == null) {
            engines.add(engine);
        }
    }

    void remove(EngineView engine) {
        Integer position = positions.remove(engine);
        if (position == null) {
            return;
        }
        EngineView last = engines.removeLast();
        if (last != engine) {
            engines.set(position, last);
            positions.put(last, position);
        }
    }

    int size() {
        return engines.size();
    }

    EngineView get(int position) {
        return engines.get(position);
    }

    Optional<EngineView> draw(RandomGenerator random) {
        return engines.isEmpty() ? Optional.empty() : Optional.of(engines.get(random.nextInt(engines.size())));
    }
}
