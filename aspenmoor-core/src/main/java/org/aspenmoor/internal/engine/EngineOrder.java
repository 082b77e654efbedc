package org.aspenmoor.internal.engine;

/** An order to an engine. */
public sealed interface EngineOrder {
    /**
     * Take another role; the engine is away for seconds.
     *
     * @param role the role to take
     */
    record ChangeRole(EngineRole role) implements EngineOrder {}

    /**
     * Load a version of a model from the weight store.
     *
     * @param model the model's name
     * @param version the version to load
     */
    record LoadModel(String model, String version) implements EngineOrder {}

    /**
     * Load an adapter from the weight store.
     *
     * @param model the model it belongs to
     * @param adapter the adapter's name
     * @param version the version to load
     */
    record LoadAdapter(String model, String adapter, String version) implements EngineOrder {}

    /**
     * Give up an adapter's memory.
     *
     * @param model the model it belongs to
     * @param adapter the adapter's name
     */
    record UnloadAdapter(String model, String adapter) implements EngineOrder {}
}
