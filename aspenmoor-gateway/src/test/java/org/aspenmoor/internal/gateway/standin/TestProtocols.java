package org.aspenmoor.internal.gateway.standin;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import org.aspenmoor.internal.gateway.protocol.AnswerFacts;
import org.aspenmoor.internal.gateway.protocol.BackendProtocol;
import org.aspenmoor.internal.gateway.protocol.CacheSource;
import org.aspenmoor.internal.gateway.protocol.CallerProtocol;
import org.aspenmoor.internal.gateway.protocol.CallerRequest;
import org.aspenmoor.internal.gateway.protocol.Delivery;
import org.aspenmoor.internal.gateway.protocol.EngineReport;
import org.aspenmoor.internal.gateway.protocol.RoleOrder;
import org.aspenmoor.internal.gateway.protocol.WantedWork;
import org.aspenmoor.internal.serving.Prompt;
import org.aspenmoor.internal.serving.PromptPart;

/** A minimal set of headers with the values that a gateway needs. */
public final class TestProtocols implements CallerProtocol, BackendProtocol {
    public static final String ID = "Test-Id";
    public static final String SIGNED = "Test-Signed";
    public static final String NOT_RUN = "Test-Not-Run";
    public static final String LEFT = "Test-Left-Ms";
    public static final String SERVER = "Test-Server";
    public static final String WORK = "Test-Work";
    public static final String SOURCE = "Test-Source";
    public static final String AFTER = "Test-After";
    public static final String PROMPT = "Test-Prompt";

    /** A request with this header blocks the entry's event loop until {@link #release()} is called. */
    public static final String BUSY = "Test-Busy";

    private final Semaphore busy = new Semaphore(0);
    private final Semaphore released = new Semaphore(0);

    /** Waits until a request blocks the event loop. */
    public void awaitBusy() {
        busy.acquireUninterruptibly();
    }

    /** Unblocks the event loop. */
    public void release() {
        released.release();
    }

    @Override
    public CallerRequest read(HttpRequest head) {
        if (head.headers().contains(BUSY)) {
            busy.release();
            released.acquireUninterruptibly();
        }
        Optional<Duration> patience = Optional.ofNullable(head.headers().get("Test-Patience-Ms"))
                .map(text -> Duration.ofMillis(Long.parseLong(text)));
        Optional<Prompt> prompt = Optional.ofNullable(head.headers().get(PROMPT))
                .map(tokens -> new Prompt(
                        "m",
                        Integer.parseInt(tokens),
                        10,
                        Optional.empty(),
                        List.of(new PromptPart("own", Integer.parseInt(tokens)))));
        return new CallerRequest(head.headers().get(ID, ""), patience, prompt);
    }

    @Override
    public void address(HttpHeaders headers, Delivery delivery) {
        headers.set(SERVER, delivery.server());
        headers.set(LEFT, delivery.timeLeft().toMillis());
        if (delivery.work() == WantedWork.PROMPT_ONLY) {
            headers.set(WORK, "prompt");
        }
        delivery.cacheSource().ifPresent(source -> headers.set(SOURCE, source.handle()));
        delivery.lastEvent().ifPresent(event -> headers.set(AFTER, event));
    }

    @Override
    public AnswerFacts read(HttpResponse head) {
        return new AnswerFacts(
                Optional.ofNullable(head.headers().get(ID)),
                head.headers().contains(SIGNED),
                head.headers().contains(NOT_RUN),
                Optional.empty(),
                Optional.empty());
    }

    @Override
    public Optional<String> readHandle(String body) {
        return body.isBlank() ? Optional.empty() : Optional.of(body.strip());
    }

    @Override
    public FullHttpRequest release(CacheSource source) {
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.DELETE, "/prompts/" + source.handle());
    }

    @Override
    public FullHttpRequest askReport(String server) {
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/report");
    }

    @Override
    public Optional<EngineReport> readReport(String body) {
        return Optional.empty();
    }

    @Override
    public FullHttpRequest order(RoleOrder order) {
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/order");
    }

    @Override
    public FullHttpRequest askCache(String server) {
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/cache");
    }

    /** Reads parts of the form IDENTITY:TOKENS, separated by spaces. */
    @Override
    public List<PromptPart> readCache(String body) {
        List<PromptPart> parts = new ArrayList<>();
        for (String part : body.split(" ", -1)) {
            String[] both = part.split(":", -1);
            if (both.length == 2) {
                parts.add(new PromptPart(both[0], Integer.parseInt(both[1])));
            }
        }
        return parts;
    }
}
