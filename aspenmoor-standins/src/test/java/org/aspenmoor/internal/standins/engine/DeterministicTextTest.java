package org.aspenmoor.internal.standins.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public class DeterministicTextTest {
    @Test
    public void should_generate_the_same_text_when_it_is_generated_in_parts() {
        String complete = DeterministicText.text("scene-drafter", "gap-fillers", "Rain.", 0, 20);
        String parts = DeterministicText.text("scene-drafter", "gap-fillers", "Rain.", 0, 7)
                + DeterministicText.text("scene-drafter", "gap-fillers", "Rain.", 7, 20);

        assertEquals(parts, complete);
        assertTrue(complete.startsWith(DeterministicText.token("scene-drafter", "gap-fillers", "Rain.", 0)));
    }

    @Test
    public void should_generate_another_text_when_model_adapter_or_prompt_differ() {
        String text = DeterministicText.text("a", "b", "c", 0, 10);

        assertNotEquals(DeterministicText.text("x", "b", "c", 0, 10), text);
        assertNotEquals(DeterministicText.text("a", "x", "c", 0, 10), text);
        assertNotEquals(DeterministicText.text("a", "b", "x", 0, 10), text);
    }

    @Test
    public void should_stop_at_the_maximum_when_the_caller_sets_one() {
        assertEquals(DeterministicText.tokens("Rain.", 5), 5);
        assertEquals(DeterministicText.tokens("Rain.", 100_000), DeterministicText.unlimitedTokens("Rain."));
    }
}
