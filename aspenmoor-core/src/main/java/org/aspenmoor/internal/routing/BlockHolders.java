package org.aspenmoor.internal.routing;

import java.util.ArrayList;
import java.util.List;

/** The engines last known to hold one cache block, each with the generation of its {@link CacheEventSequence}. */
final class BlockHolders {
    private static final int MAX_HOLDERS = 4;

    private final List<String> engines = new ArrayList<>(2);
    private final long[] generations = new long[MAX_HOLDERS];

    void put(String engine, long generation) {
        int position = engines.indexOf(engine);
        if (position < 0) {
            if (engines.size() == MAX_HOLDERS) {
                removeAt(0);
            }
            position = engines.size();
            engines.add(engine);
        }
        generations[position] = generation;
    }

    void remove(String engine) {
        int position = engines.indexOf(engine);
        if (position >= 0) {
            removeAt(position);
        }
    }

    List<String> engines() {
        return engines;
    }

    long generationOf(String engine) {
        int position = engines.indexOf(engine);
        return position < 0 ? -1 : generations[position];
    }

    private void removeAt(int position) {
        engines.remove(position);
        System.arraycopy(generations, position + 1, generations, position, MAX_HOLDERS - position - 1);
    }
}
