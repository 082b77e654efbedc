package org.aspenmoor.internal.document;

import java.util.List;
import org.aspenmoor.AspenmoorException;

/** Another change of the document was accepted after the operator read it; nothing was written. */
public final class DocumentConflictException extends AspenmoorException {
    private static final long serialVersionUID = 1L;

    private final long currentRevision;
    private final transient List<String> changesMeanwhile;

    public DocumentConflictException(ServiceName name, long readRevision, long currentRevision, List<String> changes) {
        super(
                "Revision " + currentRevision + " is in force, but the change is based on revision " + readRevision
                        + (changes.isEmpty() ? "." : ". Changed meanwhile: " + String.join(" ", changes)),
                name.toString(),
                "Read revision " + currentRevision + ", apply your change to it and accept it; nothing was written.");
        this.currentRevision = currentRevision;
        this.changesMeanwhile = List.copyOf(changes);
    }

    /** Returns the revision that is in force. */
    public long currentRevision() {
        return currentRevision;
    }

    /** Returns the changes since the revision that the operator read, one sentence each. */
    public List<String> changesMeanwhile() {
        return changesMeanwhile;
    }
}
