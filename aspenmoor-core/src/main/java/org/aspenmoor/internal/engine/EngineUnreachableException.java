package org.aspenmoor.internal.engine;

import org.aspenmoor.AspenmoorException;

/** An engine did not respond; it may have executed the call. */
public final class EngineUnreachableException extends AspenmoorException {
    private static final long serialVersionUID = 1L;

    public EngineUnreachableException(String problem, String place, String remedy) {
        super(problem, place, remedy);
    }
}
