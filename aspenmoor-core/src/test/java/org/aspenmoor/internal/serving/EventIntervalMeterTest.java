package org.aspenmoor.internal.serving;

import static org.testng.Assert.assertEquals;

import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class EventIntervalMeterTest {
    private static final long SECOND = 1_000_000_000L;

    private EventIntervalMeter meter;

    @BeforeMethod
    public void createMeter() {
        meter = new EventIntervalMeter();
    }

    @Test
    public void should_return_empty_when_too_few_events_were_seen() {
        meter.recordEvent(0.1, SECOND);

        assertEquals(meter.intervals(SECOND).secondsPerEvent(), Optional.empty());
    }

    @Test
    public void should_follow_a_slower_engine_within_seconds() {
        for (int event = 0; event < 20; event++) {
            meter.recordEvent(0.05, SECOND);
        }
        for (int event = 0; event < 20; event++) {
            meter.recordEvent(0.1, 4 * SECOND);
        }

        assertEquals(meter.intervals(4 * SECOND).secondsPerEvent().orElseThrow(), 0.1, 0.01);
    }

    @Test
    public void should_forget_the_interval_when_the_engine_sends_no_events() {
        for (int event = 0; event < 20; event++) {
            meter.recordEvent(0.05, SECOND);
        }

        assertEquals(meter.intervals(20 * SECOND).secondsPerEvent(), Optional.empty());
    }

    @Test
    public void should_add_the_intervals_of_two_entries() {
        EventIntervals both = new EventIntervals(1, 0.1).plus(new EventIntervals(3, 0.1));

        assertEquals(both.secondsPerEvent(), Optional.of(0.05));
    }
}
