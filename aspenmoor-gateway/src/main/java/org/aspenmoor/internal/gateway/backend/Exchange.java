package org.aspenmoor.internal.gateway.backend;

import io.netty.handler.codec.http.FullHttpRequest;

/** A request sent to a backend server, and its answer. Confined to the event loop. */
public final class Exchange {
    private final String requestId;
    private final FullHttpRequest request;
    private final ExchangeListener listener;
    private final boolean healthCall;
    private BackendConnection connection;
    private boolean ended;

    /**
     * Creates an exchange that has not been sent.
     *
     * @param healthCall whether it asks the server for its load and nothing else
     */
    Exchange(String requestId, FullHttpRequest request, ExchangeListener listener, boolean healthCall) {
        this.requestId = requestId;
        this.request = request;
        this.listener = listener;
        this.healthCall = healthCall;
    }

    /**
     * Ends the exchange without notifying the listener, and resets its connection. The server then aborts the request
     * instead of working on it for a caller that has disconnected.
     */
    public void cancel() {
        if (ended) {
            return;
        }
        ended = true;
        if (connection == null) {
            request.release();
            return;
        }
        connection.abort();
    }

    /** Ends the exchange in the same way, and notifies the listener, unless the exchange has ended. */
    void expire(String reason) {
        if (ended) {
            return;
        }
        cancel();
        listener.failed(reason);
    }

    /** Pauses or resumes reading the answer, which applies the backpressure of a slow caller to the server. */
    public void setReading(boolean enabled) {
        if (connection != null && !ended) {
            connection.setReading(enabled);
        }
    }

    /** Returns whether the operating system has taken all bytes of the request. */
    public boolean requestWritten() {
        return connection != null && connection.requestWritten();
    }

    boolean healthCall() {
        return healthCall;
    }

    boolean ended() {
        return ended;
    }

    /** Returns whether the answer has to name a request; the answers to calls of the entry's own name none. */
    boolean hasRequestId() {
        return !requestId.isEmpty();
    }

    String requestId() {
        return requestId;
    }

    FullHttpRequest request() {
        return request;
    }

    ExchangeListener listener() {
        return listener;
    }

    void attach(BackendConnection newConnection) {
        connection = newConnection;
    }

    void markEnded() {
        ended = true;
    }
}
