package org.aspenmoor.internal.serving.speed;

/** Whether any server of a service states its slowdown. */
final class StatingService {
    private int statingServers;

    void serverAdded() {
        statingServers++;
    }

    void serverRemoved() {
        statingServers--;
    }

    boolean states() {
        return statingServers > 0;
    }
}
