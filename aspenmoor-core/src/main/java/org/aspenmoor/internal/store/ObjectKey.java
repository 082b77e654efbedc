package org.aspenmoor.internal.store;

/**
 * The name of one object in the store.
 *
 * @param kind what it is
 * @param namespace the team it belongs to, or {@link #PLATFORM_NAMESPACE}
 * @param name unique among objects of its kind and namespace
 */
public record ObjectKey(ObjectKind kind, String namespace, String name) {
    /** The namespace of objects that belong to no team. */
    public static final String PLATFORM_NAMESPACE = "platform";

    @Override
    public String toString() {
        return kind.resource() + "/" + namespace + "/" + name;
    }
}
