package org.aspenmoor.internal.administration;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.document.DocumentAcceptance;
import org.aspenmoor.internal.document.DocumentRegistry;
import org.aspenmoor.internal.entry.EntryProcess;
import org.aspenmoor.internal.entry.RequestTrace;
import org.aspenmoor.internal.settings.EntrySettings;
import org.aspenmoor.internal.settings.OperatorSettings;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.time.TimeSource;

/** Assembles the administration API of an entry. */
public final class EntryAdministration {
    private final EntrySettings settings;
    private final ObjectStore store;
    private final TimeSource timeSource;
    private final RandomGenerator random;
    private final PrometheusRegistry metrics;

    public EntryAdministration(
            EntrySettings settings,
            ObjectStore store,
            TimeSource timeSource,
            RandomGenerator random,
            PrometheusRegistry metrics) {
        this.settings = settings;
        this.store = store;
        this.timeSource = timeSource;
        this.random = random;
        this.metrics = metrics;
    }

    /** Returns the API for a running entry. */
    public AdministrationApi api(EntryProcess entry) {
        DocumentRegistry documents = entry.registry();
        EntryStatusSource source = new EntryStatusSource(
                settings.process().name(),
                settings.process().dataCentre(),
                documents,
                new KindCounts(metrics),
                entry::dump,
                id -> entry.trace(id).thenApply(trace -> trace.map(RequestTrace::events)),
                entry::duties);
        DocumentAcceptance acceptance =
                new DocumentAcceptance(store, new RegistryFleetView(documents, source), timeSource, random);
        return new AdministrationApi(operators(), acceptance, documents, source);
    }

    private OperatorTokens operators() {
        return new OperatorTokens(
                settings.operators().stream().map(EntryAdministration::operator).toList());
    }

    private static Operator operator(OperatorSettings operator) {
        return new Operator(operator.name(), operator.tokenHash(), OperatorScope.of(operator.scope()));
    }
}
