package org.aspenmoor.internal.gateway.backend;

import java.util.Arrays;

/**
 * What a connection has carried. A late second answer names at most the request, not the attempt. It can be told from
 * the answer to a later exchange only if the connection has not carried the same request before, and no other call
 * without an id.
 *
 * <p>Of the ids only the hash codes are kept, so that a connection that is kept for long needs little memory. A request
 * may therefore be taken for another one in rare cases; it then gets another connection.
 */
final class ConnectionHistory {
    private static final int INITIAL_CAPACITY = 16;
    private static final int MAX_REQUESTS = 1024;

    private int[] hashCodes = new int[INITIAL_CAPACITY];
    private int count;
    private boolean callCarried;

    /** Records an exchange that may be carried. */
    void add(Exchange exchange) {
        if (!exchange.hasRequestId()) {
            callCarried = true;
            return;
        }
        if (count == hashCodes.length) {
            hashCodes = Arrays.copyOf(hashCodes, 2 * count);
        }
        hashCodes[count] = exchange.requestId().hashCode();
        count++;
    }

    /** Returns whether an answer to an earlier exchange can be told from the answer to this one. */
    boolean allows(Exchange exchange) {
        return exchange.hasRequestId() ? !contains(exchange.requestId().hashCode()) : !callCarried;
    }

    /** Returns whether no further request can be recorded. */
    boolean full() {
        return count == MAX_REQUESTS;
    }

    private boolean contains(int hashCode) {
        for (int index = 0; index < count; index++) {
            if (hashCodes[index] == hashCode) {
                return true;
            }
        }
        return false;
    }
}
