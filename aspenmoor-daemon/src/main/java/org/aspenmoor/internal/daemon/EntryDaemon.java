package org.aspenmoor.internal.daemon;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.PrintStream;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.random.RandomGenerator;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.administration.AdministrationApi;
import org.aspenmoor.internal.administration.EntryAdministration;
import org.aspenmoor.internal.entry.EntryMetrics;
import org.aspenmoor.internal.entry.EntryProcess;
import org.aspenmoor.internal.http.CallerRoutes;
import org.aspenmoor.internal.http.HttpServers;
import org.aspenmoor.internal.http.ProcessRoutes;
import org.aspenmoor.internal.settings.EntrySettings;
import org.aspenmoor.internal.settings.ProcessSettings;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.client.HttpObjectStore;
import org.aspenmoor.internal.store.client.StoreSettings;
import org.aspenmoor.internal.store.client.WatchedCollection;
import org.aspenmoor.internal.time.SystemTimeSource;
import org.aspenmoor.internal.time.TimeSource;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.server.RatpackServer;

/** Assembles and starts an entry. */
final class EntryDaemon {
    private static final int HTTP_THREADS = 2;
    private static final Duration DRAIN_LIMIT = Duration.ofMinutes(10);

    private final EntrySettings settings;
    private final RandomGenerator random = new SecureRandom();
    private final TimeSource time = new SystemTimeSource();
    private final PrometheusRegistry registry = new PrometheusRegistry();

    EntryDaemon(EntrySettings settings) {
        this.settings = settings;
    }

    void start(PrintStream out) throws AspenmoorException {
        ProcessSettings process = settings.process();
        HttpObjectStore store = StoreConnections.connect(process, time, random);
        StoreSettings storeSettings = StoreConnections.settings(process);
        EntryProcess entry = new EntryProcess(
                settings,
                store,
                (from, kind, listener) -> new WatchedCollection(from, kind, listener, random, storeSettings),
                time,
                random,
                new EntryMetrics(registry));
        int linkPort = entry.start();
        RatpackServer server = HttpServers.start(
                process.address(),
                process.httpPort(),
                HTTP_THREADS,
                settings.limits().maxHeaderBytes(),
                routes(entry, store));
        out.println("listening " + process.name() + " http://" + process.address() + ":" + server.getBindPort()
                + " link " + linkPort);
        GracefulStop.onSignal(entry::drain, DRAIN_LIMIT, entry::close);
    }

    private Action<Chain> routes(EntryProcess entry, ObjectStore store) {
        AdministrationApi administration = new EntryAdministration(settings, store, time, random, registry).api(entry);
        return chain -> {
            chain.prefix(AdministrationApi.ROOT, administration);
            new CallerRoutes(entry.eventLoop(), entry.registry(), random, settings.limits(), time).execute(chain);
            new ProcessRoutes(registry, entry::dump, entry::isReady).execute(chain);
        };
    }
}
