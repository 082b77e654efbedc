package org.aspenmoor.internal.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/** What one entry knows about one backend server. */
final class Member {
    private static final int MOST_LEFT_INCARNATIONS = 8;

    private final Deque<String> leftIncarnations = new ArrayDeque<>();
    private Optional<String> incarnation = Optional.empty();
    private long connection = -1;
    private boolean linkUp;
    private long aliveAtNanoseconds;
    private Optional<Standing.Witness> listWitness = Optional.empty();
    private Optional<String> withdrawnIncarnation = Optional.empty();
    private boolean everListed;

    /** Records a hello; one from an earlier connection is ignored. */
    void hello(String newIncarnation, long newConnection, long provenAt) {
        if (newConnection < connection) {
            return;
        }
        connection = newConnection;
        incarnation = Optional.of(newIncarnation);
        linkUp = true;
        aliveAtNanoseconds = provenAt;
    }

    void alive(long onConnection, long provenAt) {
        if (onConnection == connection && linkUp) {
            aliveAtNanoseconds = Math.max(aliveAtNanoseconds, provenAt);
        }
    }

    void linkLost(long lostConnection) {
        if (lostConnection == connection) {
            linkUp = false;
        }
    }

    void leaving(String leavingIncarnation) {
        if (leftIncarnations.contains(leavingIncarnation)) {
            return;
        }
        leftIncarnations.add(leavingIncarnation);
        if (leftIncarnations.size() > MOST_LEFT_INCARNATIONS) {
            leftIncarnations.remove();
        }
    }

    void listed(boolean leaving) {
        everListed = true;
        if (leaving) {
            withdraw(Standing.Witness.HOST_LIST);
        } else {
            listWitness = Optional.empty();
            withdrawnIncarnation = Optional.empty();
        }
    }

    void unlisted() {
        if (everListed) {
            withdraw(Standing.Witness.GONE_FROM_HOST_LIST);
        }
    }

    private void withdraw(Standing.Witness witness) {
        if (withdrawnIncarnation.isEmpty()) {
            withdrawnIncarnation = incarnation;
        }
        listWitness = Optional.of(witness);
    }

    Standing standing(long now, long silenceAllowedNanoseconds) {
        if (incarnation.isEmpty()) {
            return new Standing.Unmet();
        }
        if (leftIncarnations.contains(incarnation.get())) {
            return new Standing.Leaving(Standing.Witness.AGENT);
        }
        if (!linkUp || now - aliveAtNanoseconds >= silenceAllowedNanoseconds) {
            return new Standing.Silent();
        }
        if (listWitness.isPresent() && !startedAfterWithdrawal()) {
            return new Standing.Leaving(listWitness.get());
        }
        return new Standing.Serving();
    }

    /** Returns whether the connected agent is another incarnation than the one that the host list withdrew. */
    private boolean startedAfterWithdrawal() {
        return withdrawnIncarnation.isPresent() && !withdrawnIncarnation.equals(incarnation);
    }
}
