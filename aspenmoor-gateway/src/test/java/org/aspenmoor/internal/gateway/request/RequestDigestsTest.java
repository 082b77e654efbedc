package org.aspenmoor.internal.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import org.aspenmoor.internal.gateway.caller.IncomingRequest;
import org.aspenmoor.internal.serving.quarantine.SuspectDigest;
import org.testng.annotations.Test;

public class RequestDigestsTest {
    @Test
    public void should_give_same_digest_when_request_arrives_again() {
        assertEquals(
                digest("/draft/a", "House.example:80", "Bearer one", "body", "first-id"),
                digest("/draft/a", "house.example", "Bearer one", "body", "second-id"));
    }

    // Guards against a fatal request that is not recognised because a number in its query differs at each arrival.
    @Test
    public void should_give_same_digest_when_only_query_differs() {
        assertEquals(digest("/read/a?page=1", "h", "", "", "1"), digest("/read/a?page=2", "h", "", "", "2"));
    }

    // Guards against a caller who can get another caller's request quarantined.
    @Test
    public void should_give_different_digests_when_credentials_differ() {
        assertNotEquals(digest("/read/a", "h", "Bearer one", "", "1"), digest("/read/a", "h", "Bearer two", "", "1"));
    }

    @Test
    public void should_give_different_digests_when_host_path_or_body_differs() {
        SuspectDigest digest = digest("/read/a", "h", "", "body", "1");

        assertNotEquals(digest("/read/b", "h", "", "body", "1"), digest);
        assertNotEquals(digest("/read/a", "i", "", "body", "1"), digest);
        assertNotEquals(digest("/read/a", "h", "", "other", "1"), digest);
    }

    private static SuspectDigest digest(String uri, String host, String credentials, String body, String id) {
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, uri);
        head.headers().set("Host", host).set("Test-Id", id);
        if (!credentials.isEmpty()) {
            head.headers().set("Authorization", credentials);
        }
        return RequestDigests.of(new IncomingRequest(head, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8), 0));
    }
}
