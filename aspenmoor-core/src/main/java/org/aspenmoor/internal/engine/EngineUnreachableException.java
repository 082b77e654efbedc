package org.aspenmoor.internal.engine;

import org.aspenmoor.AspenmoorException;

/** No answer came from an engine; what was asked may have been begun. */
public final class EngineUnreachableException extends AspenmoorException {
    private static final long serialVersionUID = 1L;

    public EngineUnreachableException(String problem, String place, String remedy) {
        super(problem, place, remedy);
    }
}
