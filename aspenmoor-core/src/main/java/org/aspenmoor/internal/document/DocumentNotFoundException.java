package org.aspenmoor.internal.document;

import org.aspenmoor.AspenmoorException;

/** The requested document or revision does not exist. */
public final class DocumentNotFoundException extends AspenmoorException {
    private static final long serialVersionUID = 1L;

    public DocumentNotFoundException(String problem, String place, String remedy) {
        super(problem, place, remedy);
    }
}
