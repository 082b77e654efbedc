package org.aspenmoor.internal.gateway.request;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.aspenmoor.internal.serving.WaitingLine;
import org.aspenmoor.internal.time.TimeSource;

/** The requests that wait at this entry for room at an engine, by service. Confined to the event loop. */
public final class WaitingRequests {
    /** How often a line is looked at while nothing ends: a fraction of what a prompt takes. */
    private static final long LOOK_MILLISECONDS = 10;

    private static final double NANOSECONDS = 1e9;

    private final TimeSource time;
    private final EventLoop eventLoop;
    private final Map<String, WaitingLine<ServedRequest>> lines = new HashMap<>();
    private Future<?> look;
    private boolean moving;

    public WaitingRequests(TimeSource time, EventLoop eventLoop) {
        this.time = time;
        this.eventLoop = eventLoop;
    }

    void add(WaitingLine.Waiting<ServedRequest> waiting) {
        String service = waiting.request().service();
        line(service).add(waiting);
        if (look == null) {
            look = eventLoop.scheduleWithFixedDelay(
                    this::moveAll, LOOK_MILLISECONDS, LOOK_MILLISECONDS, TimeUnit.MILLISECONDS);
        }
        roomMayBe(service);
    }

    /** Returns whether any request of a service waits. */
    public boolean anyFor(String service) {
        return line(service).size() > 0;
    }

    void remove(ServedRequest request) {
        line(request.service()).remove(request);
    }

    void departed(String service, long aimAt, long now) {
        line(service).departed(aimAt, now);
    }

    /** Notes the first byte of an answer. */
    void answered(String service, long departedAt, long now) {
        if (departedAt > 0) {
            line(service).answered((now - departedAt) / NANOSECONDS);
        }
    }

    /** Sends on who is next, as long as there is room. */
    void roomMayBe(String service) {
        WaitingLine<ServedRequest> line = line(service);
        if (moving || line.size() == 0) {
            return;
        }
        moving = true;
        try {
            line.move(time::monotonicNanos, ServedRequest::giveUp, ServedRequest::goOn);
        } finally {
            moving = false;
        }
    }

    private void moveAll() {
        List.copyOf(lines.keySet()).forEach(this::roomMayBe);
        if (lines.values().stream().allMatch(line -> line.size() == 0)) {
            look.cancel(false);
            look = null;
        }
    }

    private WaitingLine<ServedRequest> line(String service) {
        return lines.computeIfAbsent(service, name -> new WaitingLine<>());
    }
}
