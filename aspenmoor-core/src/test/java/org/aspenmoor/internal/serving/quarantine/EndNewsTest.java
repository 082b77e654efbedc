package org.aspenmoor.internal.serving.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class EndNewsTest {
    private static final RequestDigest ONCE = new RequestDigest(1, 1);
    private static final RequestDigest TWICE = new RequestDigest(2, 2);
    private static final int ENOUGH_REPORTS = 20;

    private Quarantine quarantine;
    private EndNews news;

    @BeforeMethod
    public void start() {
        quarantine = new Quarantine();
        news = new EndNews();
    }

    // Guards against a termination that other entries never learn of because one datagram was lost.
    @Test
    public void should_tell_news_in_several_reports() {
        end(ONCE, "server");
        news.add(ONCE);

        assertEquals(news.take(quarantine, 0).size(), 1);
        assertEquals(news.take(quarantine, 0).size(), 1);
    }

    @Test
    public void should_stop_telling_of_a_request_that_was_at_one_server_only() {
        end(ONCE, "server");
        news.add(ONCE);
        for (int report = 0; report < ENOUGH_REPORTS; report++) {
            news.take(quarantine, 0);
        }

        assertEquals(news.take(quarantine, 0).size(), 0);
    }

    // Guards against an entry that starts later, or was disconnected, and never learns which requests terminate
    // servers.
    @Test
    public void should_go_on_telling_of_requests_that_were_at_several() {
        end(TWICE, "first");
        end(TWICE, "second");
        for (int report = 0; report < ENOUGH_REPORTS; report++) {
            news.take(quarantine, 0);
        }

        assertEquals(news.take(quarantine, 0).size(), 2);
    }

    // Guards against reports that exceed a datagram when a server with many requests terminates.
    @Test
    public void should_bound_what_one_report_tells_and_come_to_everything() {
        int requests = 100;
        for (int request = 0; request < requests; request++) {
            RequestDigest digest = new RequestDigest(request, 3);
            end(digest, "server");
            news.add(digest);
        }
        int told = 0;
        for (int report = 0; report < requests; report++) {
            int size = news.take(quarantine, 0).size();
            assertTrue(size <= 32, "terminations in one report: " + size);
            told += size;
        }

        assertEquals(told, 5 * requests);
    }

    private void end(RequestDigest request, String server) {
        quarantine.heard(new ServerEnd(request, new ServerStart(server, 1), Duration.ZERO, false), 0);
    }
}
