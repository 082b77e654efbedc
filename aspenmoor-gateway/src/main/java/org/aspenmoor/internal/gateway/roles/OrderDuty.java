package org.aspenmoor.internal.gateway.roles;

import org.aspenmoor.internal.duty.OrderStanding;
import org.aspenmoor.internal.serving.PeerLoads;

/** The part of an entry in ordering role changes, by {@link OrderStanding}. */
public enum OrderDuty {
    /** It gives the orders. */
    RESPONSIBLE,

    /** It gives the orders as soon as the responsible entry cannot. */
    STANDBY,

    /** It gives no orders unless those before it leave a needed change undone. */
    NONE;

    /**
     * Returns the part of an entry. One that does not reach the store has none: an order needs a lease in the store, and
     * while such an entry counted as responsible, no entry changed any role.
     */
    public static OrderDuty of(OrderStanding own, PeerLoads peers) {
        if (!own.storeReached()) {
            return NONE;
        }
        return switch (peers.entriesPreceding(own)) {
            case 0 -> RESPONSIBLE;
            case 1 -> STANDBY;
            default -> NONE;
        };
    }
}
