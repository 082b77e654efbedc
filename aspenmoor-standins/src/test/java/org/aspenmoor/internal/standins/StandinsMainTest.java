package org.aspenmoor.internal.standins;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.aspenmoor.internal.standins.command.StoreCommand;
import org.testng.annotations.Test;

public class StandinsMainTest {
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    @Test
    public void should_list_the_subcommands_when_help_is_requested() {
        assertEquals(run("--help"), 0);
        assertTrue(output.toString(StandardCharsets.UTF_8).contains("store"));
    }

    @Test
    public void should_exit_with_2_when_the_usage_is_invalid() {
        assertEquals(run(), 2);
        assertEquals(run("shop"), 2);
        assertEquals(run("store", "--colour", "red"), 2);
        assertTrue(errors.toString(StandardCharsets.UTF_8).contains("aspenmoor-standins store --help"));
    }

    private int run(String... arguments) {
        StandinsMain program = new StandinsMain(
                List.of(new StoreCommand()),
                new PrintStream(output, true, StandardCharsets.UTF_8),
                new PrintStream(errors, true, StandardCharsets.UTF_8));
        return program.run(arguments);
    }
}
