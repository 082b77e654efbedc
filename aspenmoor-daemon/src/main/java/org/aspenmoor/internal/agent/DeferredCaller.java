package org.aspenmoor.internal.agent;

import java.util.Optional;
import org.aspenmoor.internal.wire.v1.Dispatch;

/** Joins the event loop, which starts calls, and the caller, which tells the event loop of them: each needs the other first. */
final class DeferredCaller implements BackendCaller {
    private Optional<BackendCaller> caller = Optional.empty();

    void setCaller(BackendCaller newCaller) {
        caller = Optional.of(newCaller);
    }

    @Override
    public BackendCall start(AttemptKey key, Dispatch dispatch) {
        return caller.orElseThrow(() -> new IllegalStateException("the event loop runs before its caller is set"))
                .start(key, dispatch);
    }
}
