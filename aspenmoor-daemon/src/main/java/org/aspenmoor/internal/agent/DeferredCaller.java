package org.aspenmoor.internal.agent;

import java.util.Optional;
import org.aspenmoor.internal.wire.v1.Dispatch;

/**
 * Resolves a circular dependency: the event loop starts calls through a caller, and the caller sends events to the
 * event loop.
 */
final class DeferredCaller implements BackendCaller {
    private Optional<BackendCaller> caller = Optional.empty();

    void setCaller(BackendCaller newCaller) {
        caller = Optional.of(newCaller);
    }

    @Override
    public BackendCall start(AttemptKey key, Dispatch dispatch) {
        return caller.orElseThrow(() -> new IllegalStateException("a call was started before setCaller"))
                .start(key, dispatch);
    }
}
