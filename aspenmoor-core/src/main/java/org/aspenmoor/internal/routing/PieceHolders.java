package org.aspenmoor.internal.routing;

import java.util.ArrayList;
import java.util.List;

/** The few engines last known to hold one cache piece, each with the generation of that belief. */
final class PieceHolders {
    private static final int MOST_HOLDERS = 4;

    private final List<String> names = new ArrayList<>(2);
    private final long[] generations = new long[MOST_HOLDERS];

    void put(String backend, long generation) {
        int position = names.indexOf(backend);
        if (position < 0) {
            if (names.size() == MOST_HOLDERS) {
                removeAt(0);
            }
            position = names.size();
            names.add(backend);
        }
        generations[position] = generation;
    }

    void remove(String backend) {
        int position = names.indexOf(backend);
        if (position >= 0) {
            removeAt(position);
        }
    }

    List<String> names() {
        return names;
    }

    long generationOf(String backend) {
        int position = names.indexOf(backend);
        return position < 0 ? -1 : generations[position];
    }

    private void removeAt(int position) {
        names.remove(position);
        System.arraycopy(generations, position + 1, generations, position, MOST_HOLDERS - position - 1);
    }
}
