package org.aspenmoor.internal.entry;

import java.util.Optional;
import org.aspenmoor.internal.link.Link;
import org.aspenmoor.internal.registration.AgentRegistration;
import org.aspenmoor.internal.wire.v1.LoadReport;

/** A backend server as this entry sees it through its agent. */
final class AgentPeer {
    private AgentRegistration registration;
    private Optional<Link> link = Optional.empty();
    private Optional<LoadReport> load = Optional.empty();
    private Optional<String> leaving = Optional.empty();
    private int outstanding;
    private int requestCredit;
    private long connectTriedAt;
    private long lastHeardAt;

    AgentPeer(AgentRegistration registration) {
        this.registration = registration;
    }

    String backend() {
        return registration.backend();
    }

    AgentRegistration registration() {
        return registration;
    }

    void registered(AgentRegistration newRegistration) {
        registration = newRegistration;
    }

    Optional<Link> link() {
        return link;
    }

    void opened(Link newLink, long now) {
        link = Optional.of(newLink);
        requestCredit = newLink.peer().getRequestCredit();
        leaving = Optional.empty();
        load = Optional.empty();
        outstanding = 0;
        lastHeardAt = now;
    }

    void closed() {
        link = Optional.empty();
        load = Optional.empty();
        outstanding = 0;
    }

    void heard(long now) {
        lastHeardAt = now;
    }

    long lastHeardAt() {
        return lastHeardAt;
    }

    void reported(LoadReport report) {
        boolean older = load.isPresent()
                && report.getReady() == load.get().getReady()
                && report.getSequence() < load.get().getSequence();
        if (!older) {
            load = Optional.of(report);
        }
    }

    Optional<LoadReport> load() {
        return load;
    }

    void leaves(String reason) {
        leaving = Optional.of(reason);
    }

    void returns() {
        leaving = Optional.empty();
    }

    Optional<String> leaving() {
        return leaving;
    }

    /** Says whether new work may go there. */
    boolean takesWork() {
        return link.isPresent()
                && leaving.isEmpty()
                && load.isPresent()
                && load.get().getReady();
    }

    boolean hasCredit() {
        return outstanding < requestCredit;
    }

    int outstanding() {
        return outstanding;
    }

    void dispatched() {
        outstanding++;
    }

    void released() {
        outstanding = Math.max(0, outstanding - 1);
    }

    /** Says whether a connection should be tried now, and remembers that it was. */
    boolean shouldConnect(long now, long pauseNanoseconds) {
        if (link.isPresent() || now - connectTriedAt < pauseNanoseconds) {
            return false;
        }
        connectTriedAt = now;
        return true;
    }
}
