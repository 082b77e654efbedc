package org.aspenmoor.internal.entry;

/** Hears which backend servers can be reached and how they report. */
interface PeerListener {
    /** A report arrived. */
    void loadReported(AgentPeer peer, long now);

    /** The link to a backend server's agent has ended. */
    void linkClosed(AgentPeer peer);
}
