package org.aspenmoor.internal.gateway;

import java.util.concurrent.Executor;
import org.aspenmoor.internal.gateway.request.ServingState;
import org.aspenmoor.internal.gateway.roles.OrderListener;
import org.aspenmoor.internal.serving.RoleChange;

/** Passes what this entry orders engines to do to the event loop. */
final class RoleOrderUpdates implements OrderListener {
    private final ServingState state;
    private final Executor eventLoop;

    RoleOrderUpdates(ServingState state, Executor eventLoop) {
        this.state = state;
        this.eventLoop = eventLoop;
    }

    @Override
    public void leaseAcquired(long fencingNumber) {
        eventLoop.execute(() -> state.orderLeaseAcquired(fencingNumber));
    }

    @Override
    public void orderAccepted(RoleChange change) {
        eventLoop.execute(() -> state.roleChangeOrdered(change));
    }
}
