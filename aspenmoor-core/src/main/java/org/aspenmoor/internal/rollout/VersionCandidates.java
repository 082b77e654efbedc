package org.aspenmoor.internal.rollout;

import java.util.Comparator;
import java.util.List;
import org.aspenmoor.internal.document.ModelDeclaration;

/**
 * Which engines may take a request while two versions of a model are in memory.
 *
 * <p>A new request may start under either version, so that no capacity is lost halfway through a rollout. A stream that
 * has begun stays with its version: another one would continue a text that it did not write.
 */
public final class VersionCandidates {
    private final List<RolloutEngine> serving;

    public VersionCandidates(List<RolloutEngine> engines) {
        this.serving = engines.stream()
                .filter(engine -> engine.hasAvailability(EngineAvailability.SERVING))
                .toList();
    }

    /** Returns the engines that may start a request, those with the declared version first. */
    public List<RolloutEngine> forNewRequest(ModelDeclaration model) {
        String declared = model.name() + "@" + model.version();
        return serving.stream()
                .filter(engine -> engine.holdsModel(model.name()))
                .sorted(Comparator.comparing(
                                (RolloutEngine engine) -> !engine.loaded().contains(declared))
                        .thenComparing(RolloutEngine::name))
                .toList();
    }

    /** Returns the engines that may go on with a stream which began under a version. */
    public List<RolloutEngine> forStartedStream(String model, String version) {
        return serving.stream()
                .filter(engine -> engine.loaded().contains(model + "@" + version))
                .toList();
    }
}
