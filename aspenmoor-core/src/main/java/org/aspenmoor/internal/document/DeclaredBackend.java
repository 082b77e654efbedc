package org.aspenmoor.internal.document;

import java.util.ArrayList;
import java.util.List;

/**
 * The declaration of a backend server with its path in the document.
 *
 * @param path the path, such as {@code engines[2]}
 * @param declaration the declaration
 */
record DeclaredBackend(String path, BackendDeclaration declaration) {
    /** Returns the declared backend servers of a document with their paths. */
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
