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
    private static final String FIRST = """
            // what the studio runs
            {"team": "studio", "service": "drafting", "callerTokenHashes": ["%s"],
             "models": [{"name": "scene-drafter", "version": "3"}],
             "kinds": [{"name": "cue", "weight": 5, "deadlineSeconds": 2.5, "longestOutputTokens": 60}],
             "engines": [{"name": "drafter-1", "dataCentre": "almaty-1"}]}""".formatted("a".repeat(64));
    private static final String SIX_MISTAKES = """
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

    private final ScriptedTerminal terminal = new ScriptedTerminal(Map.of("ASPENMOOR_TOKEN", SmallEntry.TOKEN));
    private final OperatorTool tool = new OperatorTool(terminal);
    private SmallEntry entry;
    private Path folder;

    @BeforeMethod
    public void start_an_entry() throws Exception {
        entry = new SmallEntry();
        folder = Files.createTempDirectory("operator");
        terminal.clear();
    }

    @AfterMethod
    public void stop_the_entry() throws Exception {
        entry.close();
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }

    @Test
    public void should_name_all_six_mistakes_at_once() throws IOException {
        assertEquals(run("document", "check", file(SIX_MISTAKES)), ExitCode.MISTAKES);

        for (String place : List.of(
                "3:14 (service)",
                "4:25 (callerTokenHashes[0])",
                "7:40 (kinds[0].match.model)",
                "9:14 (kinds[1].name)",
                "9:68 (kinds[1].weight)",
                "14:21 (plainServices[0].dataCentre)")) {
            assertTrue(terminal.errors().contains(place), place + " in " + terminal.errors());
        }
        assertTrue(terminal.errors().contains("has 6 mistakes."), terminal.errors());
    }

    @Test
    public void should_check_against_the_fleet_where_an_entry_is_named() throws IOException {
        String file = file(FIRST.replace("almaty-1", "almaty-2"));

        assertEquals(run("document", "check", file), ExitCode.DONE);
        assertEquals(call("document", "check", file), ExitCode.MISTAKES);

        assertTrue(terminal.errors().contains("stands in \"almaty-1\""), terminal.errors());
    }

    @Test
    public void should_show_a_change_ask_accept_it_and_wait() throws IOException {
        terminal.type("y");

        assertEquals(call("document", "accept", file(FIRST), "--wait"), ExitCode.DONE);

        assertTrue(terminal.errors().contains("Accept as revision 1? [y/N]"), terminal.errors());
        assertTrue(terminal.printed().contains("on engines: Engines load scene-drafter@3"), terminal.printed());
        assertTrue(terminal.printed().contains("in force in all 2 processes after 0.2 s"), terminal.printed());
    }

    @Test
    public void should_change_nothing_when_the_operator_says_no() throws IOException {
        terminal.type("n");

        assertEquals(call("document", "accept", file(FIRST)), ExitCode.DECLINED);
        assertEquals(call("document", "get", SERVICE), ExitCode.REFUSED);
    }

    @Test
    public void should_say_where_a_change_is_not_in_force_yet() throws IOException {
        entry.fleet().cutAgentOff();

        ExitCode code = call("document", "accept", file(FIRST), "--yes", "--wait", "--timeout", "5");

        assertEquals(code, ExitCode.NOT_YET_IN_FORCE);
        assertTrue(terminal.printed().contains("not yet in force in agent-1"), terminal.printed());
    }

    @Test
    public void should_tell_the_second_of_two_operators_what_changed() throws IOException {
        // Both write their revision 1 into a file and change it. The second to accept would undo the first one's
        // change without noticing, were the revision that she read not compared.
        call("document", "accept", file(FIRST), "--yes");
        terminal.clear();
        call("document", "get", SERVICE);
        String read = terminal.printed();
        call("document", "accept", file(read.replace("\"3\"", "\"4\"")), "--yes");

        ExitCode late = call(
                "document", "accept", file(read.replace("5.0", "6.0")), "--yes", "--token", SmallEntry.OTHER_TOKEN);

        assertEquals(late, ExitCode.CONFLICT);
        assertTrue(
                terminal.errors().contains("Changed meanwhile: Model scene-drafter goes from version 3 to 4."),
                terminal.errors());
    }

    @Test
    public void should_edit_compare_and_revert() throws IOException {
        call("document", "accept", file(FIRST), "--yes");
        assertEquals(
                call("document", "edit", SERVICE, "--yes", "--set", "models.scene-drafter.version=4"), ExitCode.DONE);
        terminal.clear();
        assertEquals(call("document", "diff", SERVICE, "1", "2"), ExitCode.DONE);
        assertTrue(terminal.printed().contains("from version 3 to 4"), terminal.printed());
        assertEquals(call("document", "revert", SERVICE, "1", "--yes"), ExitCode.DONE);
        terminal.clear();
        assertEquals(call("document", "history", SERVICE), ExitCode.DONE);

        assertEquals(
                terminal.printed().lines().map(line -> line.split(" +")[0]).toList(),
                List.of("revision", "3", "2", "1"));
        assertTrue(terminal.printed().contains("aigul"), terminal.printed());
    }

    @Test
    public void should_show_what_runs() {
        assertEquals(call("status"), ExitCode.DONE);
        assertEquals(call("duties"), ExitCode.DONE);
        assertEquals(call("explain", SmallFleet.REQUEST.toString()), ExitCode.DONE);
        assertEquals(call("dump", "entry-1"), ExitCode.DONE);

        for (String shown : List.of("3/8", "100/2000", "decode", "planner", "sent to drafter-1", "\"process\"")) {
            assertTrue(terminal.printed().contains(shown), shown + " in " + terminal.printed());
        }
    }

    @Test
    public void should_watch_until_it_is_ended() {
        terminal.endAfterPauses(2);

        assertEquals(call("status", "--watch", "--json"), ExitCode.DONE);

        assertEquals(terminal.printed().lines().count(), 3L);
        terminal.endAfterPauses(Integer.MAX_VALUE);
    }

    @DataProvider
    public Object[][] json_commands() {
        return new Object[][] {
            {List.of("status")},
            {List.of("engines")},
            {List.of("duties")},
            {List.of("document", "get", SERVICE)},
            {List.of("document", "history", SERVICE)},
            {List.of("explain", SmallFleet.REQUEST.toString())},
            {List.of("dump", "entry-1")},
        };
    }

    @Test(dataProvider = "json_commands")
    public void should_print_json_for_scripts(List<String> command) throws IOException {
        call("document", "accept", file(FIRST), "--yes");
        terminal.clear();
        List<String> line = new ArrayList<>(command);
        line.add("--json");

        assertEquals(call(line.toArray(String[]::new)), ExitCode.DONE);

        assertTrue(new ObjectMapper().readTree(terminal.printed()).isObject());
    }

    @Test
    public void should_say_what_to_do_about_errors() throws Exception {
        assertEquals(run("status"), ExitCode.USAGE);
        assertTrue(terminal.errors().contains("Add --entry URL"), terminal.errors());
        assertEquals(call("status", "--token", "wrong"), ExitCode.REFUSED);
        assertEquals(call("document", "get", "studio"), ExitCode.USAGE);
        assertEquals(call("status", "--colour"), ExitCode.USAGE);
        assertEquals(run("frobnicate"), ExitCode.USAGE);
        assertEquals(run("document", "check", "/nowhere"), ExitCode.USAGE);
        String address = entry.address();
        entry.close();
        assertEquals(run("status", "--entry", address), ExitCode.UNAVAILABLE);
        assertTrue(terminal.errors().contains("Check --entry"), terminal.errors());
    }

    @Test
    public void should_help_and_complete_every_command() {
        run("--help");
        List<String> names = terminal.printed()
                .lines()
                .skip(3)
                .takeWhile(line -> !line.isEmpty())
                .map(line -> line.replaceAll(" +([A-Z\\[]|--|bash| ).*", ""))
                .toList();
        run("completion", "bash");
        String script = terminal.printed();

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

    private ExitCode call(String... arguments) {
        List<String> line = new ArrayList<>(List.of(arguments));
        line.addAll(List.of("--entry", entry.address()));
        return tool.run(line.toArray(String[]::new));
    }

    private String file(String text) throws IOException {
        return Files.writeString(Files.createTempFile(folder, "document", ".json"), text)
                .toString();
    }
}
