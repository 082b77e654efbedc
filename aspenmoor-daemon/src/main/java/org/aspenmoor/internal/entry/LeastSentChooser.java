package org.aspenmoor.internal.entry;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Chooses the backend server that has the fewest requests of this entry; a random one among equals. */
final class LeastSentChooser implements BackendChooser {
    private final RandomGenerator random;

    LeastSentChooser(RandomGenerator random) {
        this.random = random;
    }

    @Override
    public Optional<AgentPeer> choose(ActiveRequest request, List<AgentPeer> candidates, long now) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        int least = candidates.stream().mapToInt(AgentPeer::outstanding).min().orElse(0);
        List<AgentPeer> best = candidates.stream()
                .filter(peer -> peer.outstanding() == least)
                .sorted(Comparator.comparing(AgentPeer::backend))
                .toList();
        return Optional.of(best.get(random.nextInt(best.size())));
    }
}
