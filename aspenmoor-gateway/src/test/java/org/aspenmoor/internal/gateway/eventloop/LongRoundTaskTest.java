package org.aspenmoor.internal.gateway.eventloop;

import static org.testng.Assert.assertEquals;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.aspenmoor.internal.time.ManualTimeSource;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class LongRoundTaskTest {
    private final ManualTimeSource time = new ManualTimeSource();
    private final AtomicInteger runs = new AtomicInteger();
    private EventLoop eventLoop;
    private LongRoundTask longRoundTask;

    @BeforeMethod
    public void setUp() {
        runs.set(0);
        eventLoop = new DefaultEventLoop();
        longRoundTask = new LongRoundTask(eventLoop, time, Duration.ofMillis(100), runs::incrementAndGet);
    }

    @AfterMethod
    public void tearDown() {
        eventLoop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    // A round of many steps takes longer than an urgent event may wait.
    @Test
    public void should_run_task_between_steps_when_round_is_long() {
        round(60, 60, 60, 60);

        assertEquals(runs.get(), 1);
    }

    @Test
    public void should_not_run_task_when_rounds_are_short() {
        round(60, 20);
        round(60, 20);

        assertEquals(runs.get(), 0);
    }

    /** Performs steps that take the given numbers of milliseconds within one round of the event loop. */
    private void round(int... stepMilliseconds) {
        eventLoop
                .submit(() -> {
                    for (int milliseconds : stepMilliseconds) {
                        longRoundTask.stepStarting();
                        time.advance(Duration.ofMillis(milliseconds));
                    }
                })
                .syncUninterruptibly();
        eventLoop.submit(() -> {}).syncUninterruptibly();
    }
}
