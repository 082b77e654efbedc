package org.aspenmoor.internal.document;

/** A backend server of the service. */
public sealed interface BackendDeclaration {
    /** Returns its name, unique within the platform. */
    String name();

    /** Returns the data centre it stands in. */
    String dataCentre();

    /**
     * A model engine.
     *
     * @param name its name, unique within the platform
     * @param dataCentre where it stands
     * @param checksFencingNumbers whether it refuses an order with an old fencing number by itself
     */
    record EngineDeclaration(String name, String dataCentre, boolean checksFencingNumbers)
            implements BackendDeclaration {}

    /**
     * A plain service.
     *
     * @param name its name, unique within the platform
     * @param dataCentre where it stands
     */
    record PlainServiceDeclaration(String name, String dataCentre) implements BackendDeclaration {}
}
