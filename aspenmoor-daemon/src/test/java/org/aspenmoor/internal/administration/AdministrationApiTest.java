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
    private static final String DOCUMENT_PATH = "documents/studio/drafting";
    private static final String FIRST_DOCUMENT = """
            {"team": "studio", "service": "drafting", "callerTokenHashes": ["%s"],
             "models": [{"name": "scene-drafter", "version": "3"}],
             "kinds": [{"name": "cue", "weight": 5, "deadlineSeconds": 2.5, "longestOutputTokens": 60}],
             "engines": [{"name": "drafter-1", "dataCentre": "almaty-1"}]}""".formatted("a".repeat(64));
    private static final String CHANGED_DOCUMENT = FIRST_DOCUMENT.replace("\"version\": \"3\"", "\"version\": \"4\"");
    private static final String INVALID_DOCUMENT =
            FIRST_DOCUMENT.replace("almaty-1", "almaty-2").replace("60", "0");
    private static final String PLATFORM_TOKEN = AdministrationServer.PLATFORM_TOKEN;
    private static final String STUDIO_TOKEN = AdministrationServer.STUDIO_TOKEN;

    private AdministrationServer server;

    @BeforeMethod
    public void startServer() throws Exception {
        server = new AdministrationServer(new InMemoryObjectStore());
    }

    @AfterMethod
    public void stopServer() throws Exception {
        server.close();
    }

    @Test
    public void should_describe_exactly_the_operations_that_it_handles() throws Exception {
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
            {"GET", "documents", STUDIO_TOKEN, "", "", 200},
            {"GET", DOCUMENT_PATH, STUDIO_TOKEN, "", "", 200},
            {"GET", "documents/studio/none", STUDIO_TOKEN, "", "", 404},
            {"GET", "documents/sheets/drafting", STUDIO_TOKEN, "", "", 403},
            {"PUT", DOCUMENT_PATH, STUDIO_TOKEN, "\"1\"", CHANGED_DOCUMENT, 200},
            {"PUT", DOCUMENT_PATH, STUDIO_TOKEN, "", CHANGED_DOCUMENT, 428},
            {"PUT", DOCUMENT_PATH, STUDIO_TOKEN, "x", CHANGED_DOCUMENT, 400},
            {"PUT", DOCUMENT_PATH, STUDIO_TOKEN, "0", CHANGED_DOCUMENT, 412},
            {"PUT", DOCUMENT_PATH, STUDIO_TOKEN, "1", INVALID_DOCUMENT, 422},
            {"PUT", DOCUMENT_PATH, STUDIO_TOKEN, "1", "/*" + "x".repeat(800_000) + "*/", 413},
            {"PUT", "documents/sheets/drafting", STUDIO_TOKEN, "0", CHANGED_DOCUMENT, 403},
            {"POST", DOCUMENT_PATH + "/check", STUDIO_TOKEN, "", INVALID_DOCUMENT, 200},
            {"POST", DOCUMENT_PATH + "/propose", STUDIO_TOKEN, "", CHANGED_DOCUMENT, 200},
            {"POST", DOCUMENT_PATH + "/propose", STUDIO_TOKEN, "", INVALID_DOCUMENT, 422},
            {"POST", DOCUMENT_PATH + "/propose", STUDIO_TOKEN, "0", CHANGED_DOCUMENT, 412},
            {"GET", DOCUMENT_PATH + "/history?limit=3", STUDIO_TOKEN, "", "", 200},
            {"GET", DOCUMENT_PATH + "/history?limit=many", STUDIO_TOKEN, "", "", 400},
            {"GET", DOCUMENT_PATH + "/history/1", STUDIO_TOKEN, "", "", 200},
            {"GET", DOCUMENT_PATH + "/history/9", STUDIO_TOKEN, "", "", 404},
            {"POST", DOCUMENT_PATH + "/revert/1", STUDIO_TOKEN, "1", "", 200},
            {"POST", DOCUMENT_PATH + "/revert/9", STUDIO_TOKEN, "1", "", 404},
            {"GET", "status", PLATFORM_TOKEN, "", "", 200},
            {"GET", "engines?dataCentre=lima-1", PLATFORM_TOKEN, "", "", 200},
            {"GET", "duties", PLATFORM_TOKEN, "", "", 200},
            {"GET", "in-force", PLATFORM_TOKEN, "", "", 200},
            {"GET", "dump/entry-1", PLATFORM_TOKEN, "", "", 200},
            {"GET", "dump/entry-1", STUDIO_TOKEN, "", "", 403},
            {"GET", "dump/entry-9", PLATFORM_TOKEN, "", "", 404},
            {"GET", "explain/" + request, STUDIO_TOKEN, "", "", 200},
            {"GET", "explain/zz", STUDIO_TOKEN, "", "", 400},
            {"GET", "explain/" + "0".repeat(32), STUDIO_TOKEN, "", "", 404},
        };
    }

    @Test(dataProvider = "calls")
    public void should_answer_as_described(
            String method, String path, String token, String readRevision, String body, int status) throws Exception {
        server.call("PUT", DOCUMENT_PATH, PLATFORM_TOKEN, "0", FIRST_DOCUMENT);

        HttpResponse<String> response = server.call(method, path, token, readRevision, body);

        assertEquals(response.statusCode(), status, response.body());
        JsonNode answers = operation(method, path).get("responses");
        JsonNode described = answers.path(String.valueOf(status)).at("/content/application~1json/schema");
        assertFalse(described.isMissingNode(), status + " is not described");
        assertEquals(new OpenApiSchemaCheck(description()).differences(described, server.json(response)), List.of());
    }

    @Test
    public void should_report_all_mistakes_with_their_places() throws Exception {
        JsonNode error = server.json(server.call("PUT", DOCUMENT_PATH, STUDIO_TOKEN, "0", INVALID_DOCUMENT));

        assertEquals(error.get("findings").size(), 2, error.toString());
        assertEquals(error.at("/findings/0/path").asText(), "kinds[0].longestOutputTokens");
        assertEquals(error.at("/findings/1/line").asInt(), 4);
    }

    @Test
    public void should_report_the_first_change_when_a_second_operator_submits_an_outdated_revision() throws Exception {
        // Both operators read revision 1, and the change of the first is accepted.
        // Without the condition the second would overwrite it unknowingly.
        server.call("PUT", DOCUMENT_PATH, STUDIO_TOKEN, "0", FIRST_DOCUMENT);
        server.call("PUT", DOCUMENT_PATH, STUDIO_TOKEN, "1", CHANGED_DOCUMENT);

        HttpResponse<String> late =
                server.call("PUT", DOCUMENT_PATH, PLATFORM_TOKEN, "1", FIRST_DOCUMENT.replace("5,", "6,"));

        assertEquals(late.statusCode(), 412);
        assertEquals(late.headers().firstValue("ETag"), Optional.of("\"2\""));
        assertEquals(
                server.json(late).get("changesMeanwhile").toString(),
                "[\"Model scene-drafter goes from version 3 to 4.\"]");
    }

    @Test
    public void should_record_the_operator_who_accepted_a_revision() throws Exception {
        server.call("PUT", DOCUMENT_PATH, PLATFORM_TOKEN, "0", FIRST_DOCUMENT);
        server.call("PUT", DOCUMENT_PATH, STUDIO_TOKEN, "1", CHANGED_DOCUMENT);

        JsonNode newest = server.json(server.call("GET", DOCUMENT_PATH + "/history", STUDIO_TOKEN, "", ""))
                .at("/revisions/0");

        assertEquals(newest.get("acceptedBy").asText(), "aigul");
        assertEquals(newest.get("revision").asLong(), 2);
    }

    @Test
    public void should_show_an_operator_only_the_services_of_its_team() throws Exception {
        String shown = "";
        for (String path : List.of("documents", "status", "engines", "duties", "in-force")) {
            shown += server.call("GET", path, STUDIO_TOKEN, "", "").body();
        }

        assertTrue(shown.contains("studio"), shown);
        assertFalse(shown.contains("sheets") || shown.contains("sheet-1"), shown);
    }

    @Test
    public void should_reject_unsupported_methods_and_unknown_paths() throws Exception {
        assertEquals(server.call("DELETE", DOCUMENT_PATH, STUDIO_TOKEN, "", "").statusCode(), 405);
        assertEquals(server.call("GET", "nothing", STUDIO_TOKEN, "", "").statusCode(), 404);
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
