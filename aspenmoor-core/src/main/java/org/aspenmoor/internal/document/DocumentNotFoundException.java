package org.aspenmoor.internal.document;

import org.aspenmoor.AspenmoorException;

/** There is no such document or revision. */
public final class DocumentNotFoundException extends AspenmoorException {
    private static final long serialVersionUID = 1L;

    public DocumentNotFoundException(String problem, String place, String remedy) {
        super(problem, place, remedy);
    }
}
