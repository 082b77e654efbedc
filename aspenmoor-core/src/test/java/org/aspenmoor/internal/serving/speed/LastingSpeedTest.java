package org.aspenmoor.internal.serving.speed;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import org.aspenmoor.internal.serving.BackendServer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class LastingSpeedTest {
    private static final BackendServer SERVER = ProbeServers.server("s");
    private static final double USUAL = 1.7;
    private static final double SLOW = 4.25;
    private static final double TOLERANCE = 1e-6;

    private KnownSpeeds speeds;
    private KnownSpeed known;

    @BeforeMethod
    public void setUp() {
        speeds = new KnownSpeeds();
        known = speeds.serverChanged(SERVER);
    }

    // Guards against a slow engine that counts as usual whenever its last statement is a second old.
    @Test
    public void should_expect_the_lasting_speed_when_the_last_statement_is_old() {
        stateForFourSeconds();

        assertEquals(known.statedSlowdown(at(60_000)), USUAL, TOLERANCE);
    }

    // Guards against a slow phase that is taken for the lasting speed.
    @Test
    public void should_keep_the_lasting_speed_in_slow_phases() {
        stateForFourSeconds();
        for (long time = 4000; time < 4600; time += 100) {
            speeds.stated(SERVER, SLOW, at(time));
        }

        assertEquals(known.lastingSlowdown(), USUAL, TOLERANCE);
        assertEquals(known.statedSlowdown(at(4500)), SLOW, TOLERANCE);
        assertEquals(known.statedSlowdown(at(6000)), USUAL, TOLERANCE);
    }

    // Guards against a lasting speed that one faulty statement changes.
    @Test
    public void should_keep_the_lasting_speed_when_one_statement_is_too_low() {
        stateForFourSeconds();
        speeds.stated(SERVER, 0.01, at(4100));

        assertEquals(known.statedSlowdown(at(6000)), USUAL, TOLERANCE);
    }

    // Guards against statements of one slow phase that count as the lasting speed.
    @Test
    public void should_not_take_the_first_slow_phase_for_the_lasting_speed() {
        for (long time = 0; time < 600; time += 100) {
            speeds.stated(SERVER, SLOW, at(time));
        }

        assertEquals(known.statedSlowdown(at(5000)), 1, TOLERANCE);
    }

    // Guards against an entry that has just started in a slow phase and takes it for the lasting speed.
    @Test
    public void should_adopt_the_lasting_speed_from_a_peer_when_it_knows_few_statements() {
        stateForFourSeconds();
        KnownSpeeds joining = new KnownSpeeds();
        KnownSpeed joined = joining.serverChanged(SERVER);
        joining.stated(SERVER, SLOW, at(3700));

        joining.reported("peer", speeds.toReport(at(3900)), at(3900));

        assertEquals(joined.statedSlowdown(at(9000)), USUAL, TOLERANCE);
    }

    // Guards against statements that no other entry hears, because 300 entries report every three seconds.
    @Test
    public void should_report_a_statement_once_when_reports_are_more_than_a_second_apart() {
        speeds.stated(SERVER, USUAL, at(0));

        assertEquals(speeds.toReport(at(3000)).getFirst().stated().orElseThrow().age(), Duration.ofSeconds(3));
        assertEquals(speeds.toReport(at(6000)).size(), 0);
    }

    private void stateForFourSeconds() {
        for (long time = 0; time < 4000; time += 300) {
            speeds.stated(SERVER, time % 1500 == 0 ? SLOW : USUAL, at(time));
        }
    }

    private static long at(long milliseconds) {
        return Duration.ofMillis(milliseconds).toNanos();
    }
}
