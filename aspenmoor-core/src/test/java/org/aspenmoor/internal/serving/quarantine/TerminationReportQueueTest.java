package org.aspenmoor.internal.serving.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class TerminationReportQueueTest {
    private static final SuspectDigest SINGLE_TERMINATION = new SuspectDigest(1, 1);
    private static final SuspectDigest TWO_TERMINATIONS = new SuspectDigest(2, 2);
    private static final int ENOUGH_REPORTS = 20;

    private Quarantine quarantine;
    private TerminationReportQueue reportQueue;

    @BeforeMethod
    public void start() {
        quarantine = new Quarantine(suspect -> Duration.ZERO, 0);
        reportQueue = new TerminationReportQueue();
    }

    // Guards against a termination that other entries never learn of because one datagram was lost.
    @Test
    public void should_include_a_termination_in_several_reports() {
        terminate(SINGLE_TERMINATION, "server");
        reportQueue.add(SINGLE_TERMINATION);

        assertEquals(reportQueue.takeNextReport(quarantine, 0).size(), 1);
        assertEquals(reportQueue.takeNextReport(quarantine, 0).size(), 1);
    }

    @Test
    public void should_stop_reporting_a_request_after_several_reports_when_it_has_one_termination() {
        terminate(SINGLE_TERMINATION, "server");
        reportQueue.add(SINGLE_TERMINATION);
        for (int report = 0; report < ENOUGH_REPORTS; report++) {
            reportQueue.takeNextReport(quarantine, 0);
        }

        assertEquals(reportQueue.takeNextReport(quarantine, 0).size(), 0);
    }

    // Guards against an entry that starts later, or was disconnected, and never learns which requests terminate
    // servers.
    @Test
    public void should_keep_reporting_a_request_when_it_has_several_terminations() {
        terminate(TWO_TERMINATIONS, "first");
        terminate(TWO_TERMINATIONS, "second");
        for (int report = 0; report < ENOUGH_REPORTS; report++) {
            reportQueue.takeNextReport(quarantine, 0);
        }

        assertEquals(reportQueue.takeNextReport(quarantine, 0).size(), 2);
    }

    // Guards against reports that exceed a datagram when a server with many requests terminates.
    @Test
    public void should_bound_each_report_and_include_every_termination_when_there_are_many() {
        int requests = 100;
        for (int request = 0; request < requests; request++) {
            SuspectDigest digest = new SuspectDigest(request, 3);
            terminate(digest, "server");
            reportQueue.add(digest);
        }
        int reported = 0;
        for (int report = 0; report < requests; report++) {
            int size = reportQueue.takeNextReport(quarantine, 0).size();
            assertTrue(size <= 32, "terminations in one report: " + size);
            reported += size;
        }

        assertEquals(reported, 5 * requests);
    }

    private void terminate(SuspectDigest request, String serverId) {
        quarantine.terminationReported(
                new ServerTermination(request, new ServerIncarnation(serverId, 1), Duration.ZERO, false), 0);
    }
}
