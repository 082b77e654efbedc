package org.aspenmoor.internal.gateway.protocol;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.serving.PromptPart;

/** Maps an entry's own types to the headers and HTTP calls of backend servers. */
public interface BackendProtocol {
    /** Sets the headers that are reserved for entries, and removes any values that the caller sent in them. */
    void writeHeaders(HttpHeaders headers, DispatchParameters parameters);

    /** Returns the names of the protocol's headers that decide what an answer means; an answer has each once at most. */
    List<String> decidingHeaders();

    /** Reads the metadata in the head of an answer. */
    AnswerMetadata readHead(HttpResponse head);

    /** Reads the handle of a prefilled prompt's cache from the body of an answer; empty if there is none. */
    Optional<String> readCacheHandle(String body);

    /** Returns the HTTP request that makes an engine release the cache of a prefilled prompt. */
    FullHttpRequest release(CacheSource source);

    /** Returns the HTTP request that makes a server state its load, given the health path of its service. */
    FullHttpRequest createHealthRequest(String serverId, String path);

    /** Returns the HTTP request that queries an engine's report. */
    FullHttpRequest createReportRequest(String serverId);

    /** Reads an engine's report; empty if the body is not a report. */
    Optional<EngineReport> readReport(String body);

    /** Returns the HTTP request that orders an engine to change its role. */
    FullHttpRequest createRoleOrderRequest(RoleOrder order);

    /** Returns the HTTP request that lists the prompt parts in an engine's cache. */
    FullHttpRequest createCacheListRequest(String serverId);

    /** Reads the list of prompt parts in an engine's cache; empty if the body contains none. */
    List<PromptPart> readCacheList(String body);
}
