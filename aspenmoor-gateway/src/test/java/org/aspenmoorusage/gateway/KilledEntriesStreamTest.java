package org.aspenmoorusage.gateway;

import static org.aspenmoorusage.gateway.VersionScripts.EVENTS;
import static org.aspenmoorusage.gateway.VersionScripts.NEW;
import static org.aspenmoorusage.gateway.VersionScripts.OLD;
import static org.aspenmoorusage.gateway.VersionScripts.assertOneVersion;
import static org.aspenmoorusage.gateway.VersionScripts.rejectsNewStreams;
import static org.aspenmoorusage.gateway.VersionScripts.request;
import static org.aspenmoorusage.gateway.VersionScripts.resumed;
import static org.aspenmoorusage.gateway.VersionScripts.takeUpTwice;
import static org.aspenmoorusage.gateway.VersionScripts.whole;
import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.gateway.standin.ReceivedRequest;
import org.aspenmoor.internal.gateway.standin.ScriptedBackend;
import org.aspenmoor.internal.gateway.standin.ScriptedBackend.Script;
import org.aspenmoor.internal.gateway.standin.TestGateway;
import org.aspenmoor.internal.serving.RetryRule;
import org.aspenmoor.internal.serving.origin.StreamKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.StoredObject;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Streams of a service with two software versions that are taken up at an entry which starts after all were killed. */
public class KilledEntriesStreamTest {
    private static final String SERVICE = "model";
    private static final int STREAMS = 12;

    private TestGateway gateway;

    @BeforeMethod
    public void setUp() throws Exception {
        gateway = new TestGateway();
        gateway.route("/resume/", RetryRule.RESUMABLE, true, 3, SERVICE);
    }

    @AfterMethod
    public void tearDown() throws IOException {
        gateway.close();
    }

    // Guards against an entry that has started after all were killed, and takes the version that is left for the only
    // one.
    @Test
    public void should_refuse_when_all_entries_were_killed_and_the_version_of_the_stream_has_left() throws Exception {
        engine("old-1", OLD, whole(OLD));
        gateway.publish();
        gateway.awaitState("\"statedVersions\" : [ \"" + SERVICE + " " + OLD + "\" ]");
        gateway.call(request("r1"));
        ScriptedBackend left = engine("new-1", NEW, whole(NEW));
        gateway.restartServer("old-1", SERVICE, left.port(), 2);
        gateway.gateway().close();
        TestGateway started = gateway.startAnother("entry-2");

        ReceivedRequest answer = started.call(resumed("again", "r1", 1));

        assertEquals(answer.line(), "HTTP/1.1 503 Service Unavailable");
    }

    // Guards against callers whose streams are refused because all entries that knew them were killed.
    @Test
    public void should_continue_at_the_version_that_began_when_all_entries_were_killed() throws Exception {
        farEngine("old-1", OLD, whole(OLD));
        farEngine("old-2", OLD, whole(OLD));
        engine("new-1", NEW, rejectsNewStreams(NEW));
        gateway.publish();
        for (int stream = 0; stream < STREAMS; stream++) {
            gateway.call(request("r" + stream));
        }
        while (recordedStreams() < STREAMS) {
            Thread.onSpinWait();
        }
        gateway.gateway().close();
        TestGateway started = gateway.startAnother("entry-2");

        for (int stream = 0; stream < STREAMS; stream++) {
            String rest = takeUpTwice(started, "r" + stream);
            assertOneVersion(rest + "data: " + OLD);
            assertEquals(rest.contains("id: " + EVENTS), true, rest);
        }
    }

    /** Returns the number of streams whose origin is in the store. */
    private int recordedStreams() throws Exception {
        int streams = 0;
        for (StoredObject object :
                gateway.store().list(ObjectKind.STREAM_RECORD).objects()) {
            for (JsonNode origin : new ObjectMapper().readTree(object.value()).path("origins")) {
                streams += origin.path("keys").binaryValue().length / StreamKey.BYTES;
            }
        }
        return streams;
    }

    private ScriptedBackend engine(String id, String version, Script script) throws Exception {
        gateway.softwareVersion(version);
        return gateway.backend(id, SERVICE, EngineRole.WHOLE, TestGateway.LOCAL_DATA_CENTRE, script);
    }

    /** Starts an engine that is only chosen if no engine in the data centre of the entries is available. */
    private void farEngine(String id, String version, Script script) throws Exception {
        gateway.softwareVersion(version);
        gateway.backend(id, SERVICE, EngineRole.WHOLE, "elsewhere", script);
    }
}
