package org.aspenmoor.internal.gateway.roles;

import org.aspenmoor.internal.serving.RoleChange;

/** Is notified of the orders that this entry gives to engines; called on the thread of the role worker. */
public interface OrderListener {
    /** The entry has got the lease for orders. */
    void leaseAcquired(long fencingNumber);

    /** An engine has accepted an order. */
    void orderAccepted(RoleChange change);
}
