package org.aspenmoor.internal.gateway.protocol;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.serving.PromptPart;

/** The headers and calls that backend servers understand. */
public interface BackendProtocol {
    /** Replaces whatever a caller wrote into headers that only an entry may set by what the delivery says. */
    void address(HttpHeaders headers, Delivery delivery);

    /** Reads the head of an answer. */
    AnswerFacts read(HttpResponse head);

    /** Reads the name of a computed prompt from the body of an answer; empty where there is none. */
    Optional<String> readHandle(String body);

    /** Returns the call that frees a computed prompt. */
    FullHttpRequest release(CacheSource source);

    /** Returns the call that asks an engine for a report. */
    FullHttpRequest askReport(String server);

    /** Reads an engine's report; empty where the body is none. */
    Optional<EngineReport> readReport(String body);

    /** Returns the call that orders an engine to change its role. */
    FullHttpRequest order(RoleOrder order);

    /** Returns the call that asks an engine which prompt parts it keeps. */
    FullHttpRequest askCache(String server);

    /** Reads the prompt parts that an engine keeps; empty where the body names none. */
    List<PromptPart> readCache(String body);
}
