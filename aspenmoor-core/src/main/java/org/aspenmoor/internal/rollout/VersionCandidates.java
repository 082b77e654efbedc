package org.aspenmoor.internal.rollout;

import java.util.Comparator;
import java.util.List;
import org.aspenmoor.internal.document.ModelDeclaration;

/**
 * Selects the engines that may serve a request while engines have different versions of a model loaded.
 *
 * <p>A new request may start under any version, so that no capacity is lost during a rollout. A started stream stays
 * with its version, because another version would continue a text that it did not generate.
 */
public final class VersionCandidates {
    private final List<RolloutEngine> serving;

    public VersionCandidates(List<RolloutEngine> engines) {
        this.serving = engines.stream()
                .filter(engine -> engine.hasAvailability(EngineAvailability.SERVING))
                .toList();
    }

    /** Returns the engines that may serve a new request, those with the declared version first. */
    public List<RolloutEngine> forNewRequest(ModelDeclaration model) {
        String declared = model.name() + "@" + model.version();
        return serving.stream()
                .filter(engine -> engine.holdsModel(model.name()))
                .sorted(Comparator.comparing(
                                (RolloutEngine engine) -> !engine.loaded().contains(declared))
                        .thenComparing(RolloutEngine::name))
                .toList();
    }

    /** Returns the engines that may continue a stream that was started under the version. */
    public List<RolloutEngine> forStartedStream(String model, String version) {
        return serving.stream()
                .filter(engine -> engine.loaded().contains(model + "@" + version))
                .toList();
    }
}
