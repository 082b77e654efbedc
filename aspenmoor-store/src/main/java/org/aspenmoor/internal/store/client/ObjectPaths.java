package org.aspenmoor.internal.store.client;

import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;

/** Builds the URIs of the object API. */
final class ObjectPaths {
    private final String root;

    ObjectPaths(URI base) {
        String text = base.toString();
        String trimmed = text.endsWith("/") ? text.substring(0, text.length() - 1) : text;
        this.root = trimmed + "/apis/" + ObjectCodec.API_VERSION;
    }

    URI object(ObjectKey key) {
        return URI.create(namespacePath(key.kind(), key.namespace()) + "/" + encode(key.name()));
    }

    URI namespace(ObjectKind kind, String namespace) {
        return URI.create(namespacePath(kind, namespace));
    }

    URI all(ObjectKind kind) {
        return URI.create(root + "/" + kind.resource());
    }

    URI watch(ObjectKind kind, String fromVersion) {
        return URI.create(all(kind) + "?watch=true&allowWatchBookmarks=true&resourceVersion=" + encode(fromVersion));
    }

    private String namespacePath(ObjectKind kind, String namespace) {
        return root + "/namespaces/" + encode(namespace) + "/" + kind.resource();
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
