package org.aspenmoor.internal.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/** What one entry knows about one backend server. */
final class Member {
    private static final int MAX_DEPARTED_INCARNATIONS = 8;

    private final Deque<String> departedIncarnations = new ArrayDeque<>();
    private Optional<String> incarnation = Optional.empty();
    private long connection = -1;
    private boolean connected;
    private long lastAliveNanoseconds;
    private Optional<MembershipState.Source> listSource = Optional.empty();
    private Optional<String> withdrawnIncarnation = Optional.empty();
    private boolean wasListed;

    /** Records a hello; one from an earlier connection is ignored. */
    void helloReceived(String newIncarnation, long newConnection, long provenAtNanoseconds) {
        if (newConnection < connection) {
            return;
        }
        connection = newConnection;
        incarnation = Optional.of(newIncarnation);
        connected = true;
        lastAliveNanoseconds = provenAtNanoseconds;
    }

    void probeAnswered(long probedConnection, long provenAtNanoseconds) {
        if (probedConnection == connection && connected) {
            lastAliveNanoseconds = Math.max(lastAliveNanoseconds, provenAtNanoseconds);
        }
    }

    void linkLost(long lostConnection) {
        if (lostConnection == connection) {
            connected = false;
        }
    }

    void leavingAnnounced(String leavingIncarnation) {
        if (departedIncarnations.contains(leavingIncarnation)) {
            return;
        }
        departedIncarnations.add(leavingIncarnation);
        if (departedIncarnations.size() > MAX_DEPARTED_INCARNATIONS) {
            departedIncarnations.remove();
        }
    }

    void listed(boolean leaving) {
        wasListed = true;
        if (leaving) {
            withdraw(MembershipState.Source.HOST_LIST);
        } else {
            listSource = Optional.empty();
            withdrawnIncarnation = Optional.empty();
        }
    }

    void removedFromList() {
        if (wasListed) {
            withdraw(MembershipState.Source.GONE_FROM_HOST_LIST);
        }
    }

    private void withdraw(MembershipState.Source source) {
        if (withdrawnIncarnation.isEmpty()) {
            withdrawnIncarnation = incarnation;
        }
        listSource = Optional.of(source);
    }

    MembershipState state(long nowNanoseconds, long linkTimeoutNanoseconds) {
        if (incarnation.isEmpty()) {
            return new MembershipState.NeverConnected();
        }
        if (departedIncarnations.contains(incarnation.get())) {
            return new MembershipState.Leaving(MembershipState.Source.AGENT);
        }
        if (!connected || nowNanoseconds - lastAliveNanoseconds >= linkTimeoutNanoseconds) {
            return new MembershipState.Unresponsive();
        }
        if (listSource.isPresent() && !isStartedAfterWithdrawal()) {
            return new MembershipState.Leaving(listSource.get());
        }
        return new MembershipState.Serving();
    }

    /** Returns whether the connected agent is another incarnation than the one that the host list withdrew. */
    private boolean isStartedAfterWithdrawal() {
        return withdrawnIncarnation.isPresent() && !withdrawnIncarnation.equals(incarnation);
    }
}
