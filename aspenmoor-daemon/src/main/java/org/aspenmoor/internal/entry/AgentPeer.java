package org.aspenmoor.internal.entry;

import java.util.Optional;
import org.aspenmoor.internal.link.Link;
import org.aspenmoor.internal.registration.AgentRegistration;
import org.aspenmoor.internal.retry.CircuitBreaker;
import org.aspenmoor.internal.wire.v1.LoadReport;

/** The state of a backend server and its agent as known to this entry. */
final class AgentPeer {
    private final CircuitBreaker breaker;
    private AgentRegistration registration;
    private Optional<Link> link = Optional.empty();
    private Optional<LoadReport> load = Optional.empty();
    private int outstanding;
    private int requestCredit;
    private long lastConnectAttemptAt;
    private long connectionNumber;

    AgentPeer(AgentRegistration registration, CircuitBreaker breaker) {
        this.registration = registration;
        this.breaker = breaker;
    }

    String backend() {
        return registration.backend();
    }

    AgentRegistration registration() {
        return registration;
    }

    void updateRegistration(AgentRegistration newRegistration) {
        registration = newRegistration;
    }

    Optional<Link> link() {
        return link;
    }

    /** Records a new link. Connections are numbered in the order in which this process opened them. */
    void linkOpened(Link newLink, long newConnectionNumber) {
        link = Optional.of(newLink);
        connectionNumber = newConnectionNumber;
        requestCredit = newLink.peer().getRequestCredit();
        load = Optional.empty();
        outstanding = 0;
    }

    long connectionNumber() {
        return connectionNumber;
    }

    long lastConnectAttemptAt() {
        return lastConnectAttemptAt;
    }

    CircuitBreaker breaker() {
        return breaker;
    }

    void linkClosed() {
        link = Optional.empty();
        load = Optional.empty();
        outstanding = 0;
    }

    void updateLoad(LoadReport report) {
        boolean outdated = load.isPresent()
                && report.getReady() == load.get().getReady()
                && report.getSequence() < load.get().getSequence();
        if (!outdated) {
            load = Optional.of(report);
        }
    }

    Optional<LoadReport> load() {
        return load;
    }

    /**
     * Returns whether the agent is connected and reports its server ready; whether the server accepts new work is
     * decided by {@link AgentDirectory#acceptsWork}.
     */
    boolean isReady() {
        return link.isPresent() && load.isPresent() && load.get().getReady();
    }

    boolean hasCredit() {
        return outstanding < requestCredit;
    }

    int outstanding() {
        return outstanding;
    }

    void incrementOutstanding() {
        outstanding++;
    }

    void decrementOutstanding() {
        outstanding = Math.max(0, outstanding - 1);
    }

    /** Returns whether a connection attempt is due now, and if so records its time. */
    boolean beginConnectIfDue(long now, long intervalNanoseconds) {
        if (link.isPresent() || now - lastConnectAttemptAt < intervalNanoseconds) {
            return false;
        }
        lastConnectAttemptAt = now;
        return true;
    }
}
