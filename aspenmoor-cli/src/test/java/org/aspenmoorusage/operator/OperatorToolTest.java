package org.aspenmoorusage.operator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.aspenmoor.internal.cli.ExitCode;
import org.aspenmoor.internal.cli.OperatorTool;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class OperatorToolTest {
    private static final String SERVICE = "studio/drafting";
    private static final String FIRST_DOCUMENT = """
            // what the studio runs
            {"team": "studio", "service": "drafting", "callerTokenHashes": ["%s"],
             "models": [{"name": "scene-drafter", "version": "3"}],
             "kinds": [{"name": "cue", "weight": 5, "deadlineSeconds": 2.5, "longestOutputTokens": 60}],
             "engines": [{"name": "drafter-1", "dataCentre": "almaty-1"}]}""".formatted("a".repeat(64));
    private static final String DOCUMENT_WITH_SIX_MISTAKES = """
            {
              "team": "studio",
              "service": "Drafting",
              "callerTokenHashes": ["my-token"],
              "models": [{"name": "scene-drafter", "version": "3"}],
              "kinds": [
                {"name": "cue", "match": {"model": "scene-draftr"}, "weight": 5, "deadlineSeconds": 2.5,
                 "longestOutputTokens": 60},
                {"name": "cue", "match": {"model": "scene-drafter"}, "weight": 0, "deadlineSeconds": 20,
                 "longestOutputTokens": 800},
                {"name": "booking", "match": {"method": "POST"}, "weight": 3, "deadlineSeconds": 5, "idempotent": false}
              ],
              "engines": [{"name": "drafter-1", "dataCentre": "almaty-1"}],
              "plainServices": [{"name": "desk-1"}]
            }""";

    private final ScriptedTerminal terminal = new ScriptedTerminal(Map.of("ASPENMOOR_TOKEN", InProcessEntry.TOKEN));
    private final OperatorTool tool = new OperatorTool(terminal);
    private InProcessEntry entry;
    private Path directory;

    @BeforeMethod
    public void start_entry() throws Exception {
        entry = new InProcessEntry();
        directory = Files.createTempDirectory("operator");
        terminal.clear();
    }

    @AfterMethod
    public void stop_entry() throws Exception {
        entry.close();
        try (var files = Files.list(directory)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(directory);
    }

    @Test
    public void should_report_all_mistakes_of_a_document_at_once() throws IOException {
        assertEquals(run("document", "check", writeFile(DOCUMENT_WITH_SIX_MISTAKES)), ExitCode.MISTAKES);

        for (String location : List.of(
                "3:14 (service)",
                "4:25 (callerTokenHashes[0])",
                "7:40 (kinds[0].match.model)",
                "9:14 (kinds[1].name)",
                "9:68 (kinds[1].weight)",
                "14:21 (plainServices[0].dataCentre)")) {
            assertTrue(terminal.errorOutput().contains(location), location + " in " + terminal.errorOutput());
        }
        assertTrue(terminal.errorOutput().contains("has 6 mistakes."), terminal.errorOutput());
    }

    @Test
    public void should_check_against_the_fleet_when_an_entry_is_given() throws IOException {
        String file = writeFile(FIRST_DOCUMENT.replace("almaty-1", "almaty-2"));

        assertEquals(run("document", "check", file), ExitCode.DONE);
        assertEquals(runWithEntry("document", "check", file), ExitCode.MISTAKES);

        assertTrue(terminal.errorOutput().contains("stands in \"almaty-1\""), terminal.errorOutput());
    }

    @Test
    public void should_show_confirm_and_accept_a_change_and_wait_until_in_force() throws IOException {
        terminal.typeLine("y");

        assertEquals(runWithEntry("document", "accept", writeFile(FIRST_DOCUMENT), "--wait"), ExitCode.DONE);

        assertTrue(terminal.errorOutput().contains("Accept as revision 1? [y/N]"), terminal.errorOutput());
        assertTrue(terminal.output().contains("on engines: Engines load scene-drafter@3"), terminal.output());
        assertTrue(terminal.output().contains("in force in all 2 processes after 0.2 s"), terminal.output());
    }

    @Test
    public void should_change_nothing_when_the_operator_declines() throws IOException {
        terminal.typeLine("n");

        assertEquals(runWithEntry("document", "accept", writeFile(FIRST_DOCUMENT)), ExitCode.DECLINED);
        assertEquals(runWithEntry("document", "get", SERVICE), ExitCode.REFUSED);
    }

    @Test
    public void should_list_lagging_processes_when_the_wait_times_out() throws IOException {
        entry.fleet().disconnectAgent();

        ExitCode code =
                runWithEntry("document", "accept", writeFile(FIRST_DOCUMENT), "--yes", "--wait", "--timeout", "5");

        assertEquals(code, ExitCode.NOT_YET_IN_FORCE);
        assertTrue(terminal.output().contains("not yet in force in agent-1"), terminal.output());
    }

    @Test
    public void should_report_a_conflict_when_another_operator_changed_the_document() throws IOException {
        // Two operators each save revision 1 to a file and edit it. Without the comparison of the base revision, the
        // second accepted file would silently undo the change of the first.
        runWithEntry("document", "accept", writeFile(FIRST_DOCUMENT), "--yes");
        terminal.clear();
        runWithEntry("document", "get", SERVICE);
        String shown = terminal.output();
        runWithEntry("document", "accept", writeFile(shown.replace("\"3\"", "\"4\"")), "--yes");

        ExitCode second = runWithEntry(
                "document",
                "accept",
                writeFile(shown.replace("5.0", "6.0")),
                "--yes",
                "--token",
                InProcessEntry.OTHER_TOKEN);

        assertEquals(second, ExitCode.CONFLICT);
        assertTrue(
                terminal.errorOutput().contains("Changed meanwhile: Model scene-drafter goes from version 3 to 4."),
                terminal.errorOutput());
    }

    @Test
    public void should_edit_compare_and_revert_documents() throws IOException {
        runWithEntry("document", "accept", writeFile(FIRST_DOCUMENT), "--yes");
        assertEquals(
                runWithEntry("document", "edit", SERVICE, "--yes", "--set", "models.scene-drafter.version=4"),
                ExitCode.DONE);
        terminal.clear();
        assertEquals(runWithEntry("document", "diff", SERVICE, "1", "2"), ExitCode.DONE);
        assertTrue(terminal.output().contains("from version 3 to 4"), terminal.output());
        assertEquals(runWithEntry("document", "revert", SERVICE, "1", "--yes"), ExitCode.DONE);
        terminal.clear();
        assertEquals(runWithEntry("document", "history", SERVICE), ExitCode.DONE);

        assertEquals(
                terminal.output().lines().map(line -> line.split(" +")[0]).toList(),
                List.of("revision", "3", "2", "1"));
        assertTrue(terminal.output().contains("aigul"), terminal.output());
    }

    @Test
    public void should_show_status_duties_request_and_dump() {
        assertEquals(runWithEntry("status"), ExitCode.DONE);
        assertEquals(runWithEntry("duties"), ExitCode.DONE);
        assertEquals(runWithEntry("explain", FakeFleet.REQUEST.toString()), ExitCode.DONE);
        assertEquals(runWithEntry("dump", "entry-1"), ExitCode.DONE);

        for (String shown : List.of("3/8", "100/2000", "decode", "planner", "sent to drafter-1", "\"process\"")) {
            assertTrue(terminal.output().contains(shown), shown + " in " + terminal.output());
        }
    }

    @Test
    public void should_print_one_line_per_poll_when_watching_as_json() {
        terminal.stopAfterPauses(2);

        assertEquals(runWithEntry("status", "--watch", "--json"), ExitCode.DONE);

        assertEquals(terminal.output().lines().count(), 3L);
        terminal.stopAfterPauses(Integer.MAX_VALUE);
    }

    @DataProvider
    public Object[][] json_commands() {
        return new Object[][] {
            {List.of("status")},
            {List.of("engines")},
            {List.of("duties")},
            {List.of("document", "get", SERVICE)},
            {List.of("document", "history", SERVICE)},
            {List.of("explain", FakeFleet.REQUEST.toString())},
            {List.of("dump", "entry-1")},
        };
    }

    @Test(dataProvider = "json_commands")
    public void should_print_a_json_object_when_json_is_requested(List<String> command) throws IOException {
        runWithEntry("document", "accept", writeFile(FIRST_DOCUMENT), "--yes");
        terminal.clear();
        List<String> commandLine = new ArrayList<>(command);
        commandLine.add("--json");

        assertEquals(runWithEntry(commandLine.toArray(String[]::new)), ExitCode.DONE);

        assertTrue(new ObjectMapper().readTree(terminal.output()).isObject());
    }

    @Test
    public void should_exit_with_matching_code_and_remedy_when_a_command_fails() throws Exception {
        assertEquals(run("status"), ExitCode.USAGE);
        assertTrue(terminal.errorOutput().contains("Add --entry URL"), terminal.errorOutput());
        assertEquals(runWithEntry("status", "--token", "wrong"), ExitCode.REFUSED);
        assertEquals(runWithEntry("document", "get", "studio"), ExitCode.USAGE);
        assertEquals(runWithEntry("status", "--colour"), ExitCode.USAGE);
        assertEquals(run("frobnicate"), ExitCode.USAGE);
        assertEquals(run("document", "check", "/nowhere"), ExitCode.USAGE);
        String address = entry.address();
        entry.close();
        assertEquals(run("status", "--entry", address), ExitCode.UNAVAILABLE);
        assertTrue(terminal.errorOutput().contains("Check --entry"), terminal.errorOutput());
    }

    @Test
    public void should_provide_help_and_completion_for_every_command() {
        run("--help");
        List<String> names = terminal.output()
                .lines()
                .skip(3)
                .takeWhile(line -> !line.isEmpty())
                .map(line -> line.replaceAll(" +([A-Z\\[]|--|bash| ).*", ""))
                .toList();
        run("completion", "bash");
        String script = terminal.output();

        assertEquals(names.size(), 14);
        for (String name : names) {
            List<String> line = new ArrayList<>(List.of(name.split(" ")));
            line.add("--help");
            assertEquals(run(line.toArray(String[]::new)), ExitCode.DONE, name);
            assertTrue(script.contains("\"" + name + "\")"), name + " in " + script);
        }
        assertFalse(script.contains("[arguments]"), script);
    }

    private ExitCode run(String... arguments) {
        return tool.run(arguments);
    }

    private ExitCode runWithEntry(String... arguments) {
        List<String> commandLine = new ArrayList<>(List.of(arguments));
        commandLine.addAll(List.of("--entry", entry.address()));
        return tool.run(commandLine.toArray(String[]::new));
    }

    private String writeFile(String text) throws IOException {
        return Files.writeString(Files.createTempFile(directory, "document", ".json"), text)
                .toString();
    }
}
