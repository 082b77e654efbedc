package org.aspenmoor.internal.engine;

/** An order to an engine, without its identification. */
public sealed interface EngineOrder {
    /**
     * Changes the role; the engine is unavailable for seconds.
     *
     * @param role the new role
     */
    record ChangeRole(EngineRole role) implements EngineOrder {}

    /**
     * Loads a version of a model from the weight store.
     *
     * @param model the name of the model
     * @param version the version to load
     */
    record LoadModel(String model, String version) implements EngineOrder {}

    /**
     * Loads a version of an adapter from the weight store.
     *
     * @param model the name of the adapter's base model
     * @param adapter the name of the adapter
     * @param version the version to load
     */
    record LoadAdapter(String model, String adapter, String version) implements EngineOrder {}

    /**
     * Unloads an adapter and frees its memory.
     *
     * @param model the name of the adapter's base model
     * @param adapter the name of the adapter
     */
    record UnloadAdapter(String model, String adapter) implements EngineOrder {}
}
