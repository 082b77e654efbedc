package org.aspenmoor.internal.document;

import java.util.ArrayList;
import java.util.List;

/**
 * A backend server with the path of its declaration.
 *
 * @param path such as {@code engines[2]}
 * @param declaration what the document says of it
 */
record DeclaredBackend(String path, BackendDeclaration declaration) {
    /** Returns the backend servers of a document, each with its path. */
    static List<DeclaredBackend> allOf(ServiceDocument document) {
        List<DeclaredBackend> declared = new ArrayList<>();
        int engines = 0;
        int plainServices = 0;
        for (BackendDeclaration backend : document.backends()) {
            String path = switch (backend) {
                case BackendDeclaration.EngineDeclaration engine -> "engines[" + engines++ + "]";
                case BackendDeclaration.PlainServiceDeclaration plain -> "plainServices[" + plainServices++ + "]";
            };
            declared.add(new DeclaredBackend(path, backend));
        }
        return declared;
    }
}
