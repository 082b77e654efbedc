package org.aspenmoor.internal.document;

/** A backend server of the service. */
public sealed interface BackendDeclaration {
    /** Returns its name, unique within the platform. */
    String name();

    /** Returns the data centre that it runs in. */
    String dataCentre();

    /**
     * A model engine.
     *
     * @param name its name, unique within the platform
     * @param dataCentre the data centre that it runs in
     * @param checksFencingNumbers whether the engine itself refuses orders with an old fencing number
     */
    record EngineDeclaration(String name, String dataCentre, boolean checksFencingNumbers)
            implements BackendDeclaration {}

    /**
     * A plain service.
     *
     * @param name its name, unique within the platform
     * @param dataCentre the data centre that it runs in
     */
    record PlainServiceDeclaration(String name, String dataCentre) implements BackendDeclaration {}
}
