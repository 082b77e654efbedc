package org.aspenmoor.internal.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.link.Link;
import org.aspenmoor.internal.link.LinkListener;
import org.aspenmoor.internal.link.LinkNetwork;
import org.aspenmoor.internal.wire.FramePipeline;
import org.aspenmoor.internal.wire.v1.Frame;
import org.aspenmoor.internal.wire.v1.Hello;

/** Memory of open links, both ends of which are in this process. */
final class LinkSlopes {
    private static final List<Integer> SIZES = List.of(100, 200, 400, 800);
    private static final String LOOPBACK = "127.0.0.1";
    private static final int SECONDS_TO_OPEN = 20;

    private final SlopeMeter meter;

    LinkSlopes(SlopeMeter meter) {
        this.meter = meter;
    }

    void measure() {
        List<LinkNetwork> networks = new ArrayList<>();
        meter.memory(SlopeName.HEAP_PER_LINK, SIZES, size -> {
            networks.forEach(LinkNetwork::close);
            networks.clear();
            return open(size, networks);
        });
        networks.forEach(LinkNetwork::close);
    }

    private static Object open(int links, List<LinkNetwork> networks) {
        CountDownLatch greeted = new CountDownLatch(2 * links);
        Holder holder = new Holder(greeted);
        LinkNetwork server = new LinkNetwork(hello("agent"), holder);
        LinkNetwork client = new LinkNetwork(hello("entry"), holder);
        networks.add(server);
        networks.add(client);
        try {
            int port = server.listen(LOOPBACK, 0);
            for (int link = 0; link < links; link++) {
                client.connect(LOOPBACK, port, () -> {});
            }
            if (!greeted.await(SECONDS_TO_OPEN, TimeUnit.SECONDS)) {
                throw new IllegalStateException("links still missing: " + greeted.getCount());
            }
        } catch (AspenmoorException | InterruptedException failure) {
            throw new IllegalStateException(failure);
        }
        return holder;
    }

    private static Hello hello(String process) {
        return Hello.newBuilder()
                .setProtocolVersion(FramePipeline.PROTOCOL_VERSION)
                .setProcess(process)
                .setIncarnation("1")
                .setDataCentre("almaty-1")
                .build();
    }

    private record Holder(CountDownLatch greeted) implements LinkListener {
        @Override
        public void opened(Link link) {
            greeted.countDown();
        }

        @Override
        public void received(Link link, Frame frame) {}

        @Override
        public void closed(Link link, String cause) {}
    }
}
