package org.aspenmoor.internal.gateway.backend;

import io.netty.handler.codec.http.FullHttpRequest;

/** One request to one backend server. Confined to the event loop. */
public final class Exchange {
    private final String requestId;
    private final FullHttpRequest request;
    private final ExchangeListener listener;
    private BackendConnection connection;
    private boolean ended;

    Exchange(String requestId, FullHttpRequest request, ExchangeListener listener) {
        this.requestId = requestId;
        this.request = request;
        this.listener = listener;
    }

    /**
     * Ends the exchange without telling the listener. A server drops a request whose connection closes, so that it does
     * not go on working for a caller that has left.
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
        connection.close();
    }

    /** Stops or goes on reading the answer, so that a caller who reads slowly slows the server down. */
    public void read(boolean on) {
        if (connection != null && !ended) {
            connection.read(on);
        }
    }

    boolean ended() {
        return ended;
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

    void connected(BackendConnection to) {
        connection = to;
    }

    void finish() {
        ended = true;
    }
}
