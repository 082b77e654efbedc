package org.aspenmoor.internal.serving;

/**
 * One entry's part of the load on one backend server.
 *
 * @param unansweredSeconds the work it placed there whose answers have not begun
 * @param requests the requests it has there
 * @param pace the pace that its answers from there show
 */
public record PeerShare(double unansweredSeconds, int requests, EventPace pace) {
    /** No load. */
    public static final PeerShare NONE = new PeerShare(0, 0, EventPace.NONE);

    PeerShare plus(PeerShare other) {
        return new PeerShare(
                unansweredSeconds + other.unansweredSeconds, requests + other.requests, pace.plus(other.pace));
    }
}
