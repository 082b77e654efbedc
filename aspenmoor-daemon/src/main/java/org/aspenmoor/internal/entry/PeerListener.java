package org.aspenmoor.internal.entry;

/** Receives the load reports of backend servers and the closing of their links. */
interface PeerListener {
    /** Called when a load report was received. */
    void loadReported(AgentPeer peer, long now);

    /** Called when the link to a backend server's agent has closed. */
    void linkClosed(AgentPeer peer);
}
