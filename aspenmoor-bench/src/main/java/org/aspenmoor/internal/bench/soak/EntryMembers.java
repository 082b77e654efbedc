package org.aspenmoor.internal.bench.soak;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.aspenmoor.internal.membership.HostListEntry;
import org.aspenmoor.internal.membership.MembershipSettings;
import org.aspenmoor.internal.membership.MembershipView;

/** One entry's links to plain services, and its view of who takes new work. */
final class EntryMembers {
    private static final Duration SLOW_FOR = Duration.ofSeconds(60);

    private final SoakWorld world;
    private final EntryProcess entry;
    private final MembershipView view;
    private final Map<String, Link> links = new HashMap<>();
    private long connections;

    EntryMembers(SoakWorld world, EntryProcess entry) {
        this.world = world;
        this.entry = entry;
        this.view = new MembershipView(MembershipSettings.DEFAULT, world.time());
    }

    /** Reads the lagging list, connects where there is no link, and probes where there is one. */
    void work() {
        view.hostListRead(world.laggingHostList());
        for (SoakService service : entry.house().services()) {
            Link link = links.computeIfAbsent(service.name(), unused -> new Link());
            if (link.cutUntil > world.now()) {
                continue;
            }
            if (link.agent != service.current() || link.agent.dead()) {
                connect(service, link);
            } else {
                probe(service.name(), link);
            }
        }
    }

    void cut(SoakService service, Duration duration) {
        Link link = links.computeIfAbsent(service.name(), unused -> new Link());
        link.cutUntil = world.now() + duration.toNanos();
        if (link.agent != null) {
            view.linkLost(service.name(), link.connection);
            link.agent = null;
        }
    }

    /** Makes the link slow without cutting it; what is on its way stays in order. */
    void slowDown(SoakService service, Duration latency) {
        Link link = links.computeIfAbsent(service.name(), unused -> new Link());
        link.slowBy = latency.toNanos();
        link.slowUntil = world.now() + SLOW_FOR.toNanos();
    }

    /** An agent's word that it leaves; it goes the way of all messages of the link. */
    void tellLeaving(SoakService service) {
        Link link = links.get(service.name());
        if (link != null && link.agent == service.current()) {
            say(
                    link,
                    () -> view.leavingAnnounced(
                            service.name(), service.current().incarnation()));
        }
    }

    Optional<SoakService> anyServing() {
        List<SoakService> serving = entry.house().services().stream()
                .filter(service -> view.acceptsNewWork(service.name()))
                .toList();
        if (serving.isEmpty()) {
            return Optional.empty();
        }
        SoakService chosen = serving.get(world.random().nextInt(serving.size()));
        checkLeaving(chosen);
        return Optional.of(chosen);
    }

    private void checkLeaving(SoakService chosen) {
        OptionalLong since = chosen.current().leavingSince();
        long bound = MembershipSettings.DEFAULT.maxLeavingDelay().toNanos();
        if (since.isPresent() && world.now() - since.getAsLong() > bound) {
            world.violations()
                    .report(entry.incarnation() + " sent new work to " + chosen.name() + " "
                            + Duration.ofNanos(world.now() - since.getAsLong()) + " after it began to leave");
        }
    }

    private void connect(SoakService service, Link link) {
        connections++;
        link.connection = connections;
        link.agent = service.current();
        ServiceAgent agent = link.agent;
        long since = world.now();
        long connection = link.connection;
        say(link, () -> view.helloReceived(service.name(), agent.incarnation(), connection, since));
        if (agent.leavingSince().isPresent()) {
            tellLeaving(service);
        }
    }

    private void probe(String name, Link link) {
        long sent = world.now();
        long connection = link.connection;
        ServiceAgent agent = link.agent;
        agent.deliver(() -> say(link, () -> view.probeAnswered(name, connection, sent)));
    }

    private void say(Link link, Runnable message) {
        long slowness = world.now() < link.slowUntil ? link.slowBy : 0;
        long arrival = Math.max(link.lastArrival, world.now() + world.latency().toNanos() + slowness);
        link.lastArrival = arrival;
        long connection = link.connection;
        world.schedule(Duration.ofNanos(arrival - world.now()), entry, () -> {
            if (link.connection == connection && link.agent != null) {
                message.run();
            }
        });
    }

    /** A connection to one service, which keeps messages in order. */
    private static final class Link {
        private ServiceAgent agent;
        private long connection;
        private long cutUntil;
        private long lastArrival;
        private long slowUntil;
        private long slowBy;
    }

    /** Makes one line of the host list. */
    static HostListEntry line(SoakService service) {
        return new HostListEntry(
                service.name(), service.current().leavingSince().isPresent());
    }
}
