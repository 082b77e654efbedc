package org.aspenmoorusage.operator;

import java.net.InetAddress;
import java.util.List;
import java.util.Random;
import org.aspenmoor.internal.administration.AdministrationApi;
import org.aspenmoor.internal.administration.Operator;
import org.aspenmoor.internal.administration.OperatorScope;
import org.aspenmoor.internal.administration.OperatorTokens;
import org.aspenmoor.internal.administration.RegistryFleetView;
import org.aspenmoor.internal.administration.TokenHash;
import org.aspenmoor.internal.document.DocumentAcceptance;
import org.aspenmoor.internal.document.DocumentRegistry;
import org.aspenmoor.internal.document.StoredDocumentCodec;
import org.aspenmoor.internal.store.InMemoryObjectStore;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreMalformedException;
import org.aspenmoor.internal.store.StoreWatchListener;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.time.ManualTimeSource;
import ratpack.server.RatpackServer;
import ratpack.server.ServerConfig;

/** Serves the real administration API backed by an in-memory store. */
final class InProcessEntry implements AutoCloseable {
    static final String TOKEN = "aiguls-token";
    static final String OTHER_TOKEN = "bolats-token";

    private final InMemoryObjectStore store = new InMemoryObjectStore();
    private final DocumentRegistry registry = new DocumentRegistry(new ManualTimeSource());
    private final FakeFleet fleet = new FakeFleet(registry);
    private final RatpackServer server;

    InProcessEntry() throws Exception {
        store.watch(ObjectKind.DOCUMENT, "0", new RegistryUpdater());
        DocumentAcceptance acceptance = new DocumentAcceptance(
                store, new RegistryFleetView(registry, fleet), new ManualTimeSource(), new Random(7));
        OperatorTokens tokens = new OperatorTokens(List.of(
                new Operator("aigul", TokenHash.of(TOKEN), new OperatorScope.WholePlatform()),
                new Operator("bolat", TokenHash.of(OTHER_TOKEN), new OperatorScope.OneTeam("studio"))));
        AdministrationApi api = new AdministrationApi(tokens, acceptance, registry, fleet);
        server = RatpackServer.start(spec -> spec.serverConfig(ServerConfig.builder()
                        .address(InetAddress.getLoopbackAddress())
                        .port(0)
                        .threads(2))
                .handlers(chain -> chain.prefix(AdministrationApi.ROOT, api)));
    }

    String address() {
        return "http://127.0.0.1:" + server.getBindPort();
    }

    FakeFleet fleet() {
        return fleet;
    }

    @Override
    public void close() throws Exception {
        server.stop();
    }

    /** Puts each stored document revision into force in the registry. */
    private final class RegistryUpdater implements StoreWatchListener {
        @Override
        public void changed(StoredObject object) {
            try {
                registry.offer(StoredDocumentCodec.read(object).document());
            } catch (StoreMalformedException impossible) {
                throw new AssertionError(impossible);
            }
        }

        @Override
        public void deleted(StoredObject object) {
            throw new AssertionError("documents are never deleted");
        }

        @Override
        public void ended(StoreException cause) {
            throw new AssertionError(cause);
        }
    }
}
