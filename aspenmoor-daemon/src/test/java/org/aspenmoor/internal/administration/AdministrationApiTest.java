package org.aspenmoor.internal.administration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.aspenmoor.internal.store.InMemoryObjectStore;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class AdministrationApiTest {
    private static final String ONE = "documents/studio/drafting";
    private static final String FIRST = """
            {"team": "studio", "service": "drafting", "callerTokenHashes": ["%s"],
             "models": [{"name": "scene-drafter", "version": "3"}],
             "kinds": [{"name": "cue", "weight": 5, "deadlineSeconds": 2.5, "longestOutputTokens": 60}],
             "engines": [{"name": "drafter-1", "dataCentre": "almaty-1"}]}""".formatted("a".repeat(64));
    private static final String SECOND = FIRST.replace("\"version\": \"3\"", "\"version\": \"4\"");
    private static final String BROKEN = FIRST.replace("almaty-1", "almaty-2").replace("60", "0");
    private static final String PLATFORM = AdministrationServer.PLATFORM_TOKEN;
    private static final String STUDIO = AdministrationServer.STUDIO_TOKEN;

    private AdministrationServer server;

    @BeforeMethod
    public void start_with_an_empty_store() throws Exception {
        server = new AdministrationServer(new InMemoryObjectStore());
    }

    @AfterMethod
    public void stop() throws Exception {
        server.close();
    }

    @Test
    public void should_describe_exactly_the_operations_it_has() throws Exception {
        TreeSet<String> described = new TreeSet<>();
        for (Map.Entry<String, JsonNode> path : description().get("paths").properties()) {
            path.getValue()
                    .properties()
                    .forEach(operation -> described.add(operation.getKey().toUpperCase(Locale.ROOT) + " "
                            + path.getKey().substring(1)));
        }

        TreeSet<String> handled = server.api().endpoints().stream()
                .map(endpoint -> endpoint.method() + " " + endpoint.path().replaceAll(":([a-z]+)", "{$1}"))
                .collect(Collectors.toCollection(TreeSet::new));

        assertEquals(described, handled);
    }

    @DataProvider
    public Object[][] calls() {
        String request = FixedStatusSource.REQUEST.toString();
        return new Object[][] {
            {"GET", "documents", "", "", "", 401},
            {"GET", "documents", STUDIO, "", "", 200},
            {"GET", ONE, STUDIO, "", "", 200},
            {"GET", "documents/studio/none", STUDIO, "", "", 404},
            {"GET", "documents/sheets/drafting", STUDIO, "", "", 403},
            {"PUT", ONE, STUDIO, "\"1\"", SECOND, 200},
            {"PUT", ONE, STUDIO, "", SECOND, 428},
            {"PUT", ONE, STUDIO, "x", SECOND, 400},
            {"PUT", ONE, STUDIO, "0", SECOND, 412},
            {"PUT", ONE, STUDIO, "1", BROKEN, 422},
            {"PUT", ONE, STUDIO, "1", "/*" + "x".repeat(800_000) + "*/", 413},
            {"PUT", "documents/sheets/drafting", STUDIO, "0", SECOND, 403},
            {"POST", ONE + "/check", STUDIO, "", BROKEN, 200},
            {"POST", ONE + "/propose", STUDIO, "", SECOND, 200},
            {"POST", ONE + "/propose", STUDIO, "", BROKEN, 422},
            {"POST", ONE + "/propose", STUDIO, "0", SECOND, 412},
            {"GET", ONE + "/history?limit=3", STUDIO, "", "", 200},
            {"GET", ONE + "/history?limit=many", STUDIO, "", "", 400},
            {"GET", ONE + "/history/1", STUDIO, "", "", 200},
            {"GET", ONE + "/history/9", STUDIO, "", "", 404},
            {"POST", ONE + "/revert/1", STUDIO, "1", "", 200},
            {"POST", ONE + "/revert/9", STUDIO, "1", "", 404},
            {"GET", "status", PLATFORM, "", "", 200},
            {"GET", "engines?dataCentre=lima-1", PLATFORM, "", "", 200},
            {"GET", "duties", PLATFORM, "", "", 200},
            {"GET", "in-force", PLATFORM, "", "", 200},
            {"GET", "dump/entry-1", PLATFORM, "", "", 200},
            {"GET", "dump/entry-1", STUDIO, "", "", 403},
            {"GET", "dump/entry-9", PLATFORM, "", "", 404},
            {"GET", "explain/" + request, STUDIO, "", "", 200},
            {"GET", "explain/zz", STUDIO, "", "", 400},
            {"GET", "explain/" + "0".repeat(32), STUDIO, "", "", 404},
        };
    }

    @Test(dataProvider = "calls")
    public void should_answer_as_described(
            String method, String path, String token, String readRevision, String body, int status) throws Exception {
        server.call("PUT", ONE, PLATFORM, "0", FIRST);

        HttpResponse<String> response = server.call(method, path, token, readRevision, body);

        assertEquals(response.statusCode(), status, response.body());
        JsonNode answers = operation(method, path).get("responses");
        JsonNode described = answers.path(String.valueOf(status)).at("/content/application~1json/schema");
        assertFalse(described.isMissingNode(), status + " is not described");
        assertEquals(new DescribedSchema(description()).differences(described, server.json(response)), List.of());
    }

    @Test
    public void should_report_all_mistakes_with_their_places() throws Exception {
        JsonNode error = server.json(server.call("PUT", ONE, STUDIO, "0", BROKEN));

        assertEquals(error.get("findings").size(), 2, error.toString());
        assertEquals(error.at("/findings/0/path").asText(), "kinds[0].longestOutputTokens");
        assertEquals(error.at("/findings/1/line").asInt(), 4);
    }

    @Test
    public void should_tell_the_second_of_two_operators_what_changed() throws Exception {
        // Both read revision 1; the first one's change is accepted. Without the condition the second would undo it
        // unseen.
        server.call("PUT", ONE, STUDIO, "0", FIRST);
        server.call("PUT", ONE, STUDIO, "1", SECOND);

        HttpResponse<String> late = server.call("PUT", ONE, PLATFORM, "1", FIRST.replace("5,", "6,"));

        assertEquals(late.statusCode(), 412);
        assertEquals(late.headers().firstValue("ETag"), Optional.of("\"2\""));
        assertEquals(
                server.json(late).get("changesMeanwhile").toString(),
                "[\"Model scene-drafter goes from version 3 to 4.\"]");
    }

    @Test
    public void should_record_who_accepted_what() throws Exception {
        server.call("PUT", ONE, PLATFORM, "0", FIRST);
        server.call("PUT", ONE, STUDIO, "1", SECOND);

        JsonNode newest = server.json(server.call("GET", ONE + "/history", STUDIO, "", ""))
                .at("/revisions/0");

        assertEquals(newest.get("acceptedBy").asText(), "aigul");
        assertEquals(newest.get("revision").asLong(), 2);
    }

    @Test
    public void should_show_a_team_only_its_own() throws Exception {
        String seen = "";
        for (String path : List.of("documents", "status", "engines", "duties", "in-force")) {
            seen += server.call("GET", path, STUDIO, "", "").body();
        }

        assertTrue(seen.contains("studio"), seen);
        assertFalse(seen.contains("sheets") || seen.contains("sheet-1"), seen);
    }

    @Test
    public void should_refuse_a_method_that_a_path_does_not_take() throws Exception {
        assertEquals(server.call("DELETE", ONE, STUDIO, "", "").statusCode(), 405);
        assertEquals(server.call("GET", "nothing", STUDIO, "", "").statusCode(), 404);
    }

    private JsonNode description() throws Exception {
        return server.json(server.call("GET", "openapi.json", "", "", ""));
    }

    private JsonNode operation(String method, String path) throws Exception {
        String plain = "/" + path.replaceAll("\\?.*", "");
        for (Map.Entry<String, JsonNode> described : description().get("paths").properties()) {
            String pattern = described.getKey().replaceAll("\\{[a-z]+}", "[^/]+");
            JsonNode operation = described.getValue().get(method.toLowerCase(Locale.ROOT));
            if (plain.matches(pattern) && operation != null) {
                return operation;
            }
        }
        throw new AssertionError(method + " " + path + " is not described");
    }
}
