package org.aspenmoor.internal.standins.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public class DeterministicTextTest {
    @Test
    public void should_give_the_same_tokens_in_pieces_as_in_one() {
        String whole = DeterministicText.text("scene-drafter", "gap-fillers", "Rain.", 0, 20);
        String pieces = DeterministicText.text("scene-drafter", "gap-fillers", "Rain.", 0, 7)
                + DeterministicText.text("scene-drafter", "gap-fillers", "Rain.", 7, 20);

        assertEquals(pieces, whole);
        assertTrue(whole.startsWith(DeterministicText.token("scene-drafter", "gap-fillers", "Rain.", 0)));
    }

    @Test
    public void should_differ_by_model_adapter_and_prompt() {
        String text = DeterministicText.text("a", "b", "c", 0, 10);

        assertNotEquals(DeterministicText.text("x", "b", "c", 0, 10), text);
        assertNotEquals(DeterministicText.text("a", "x", "c", 0, 10), text);
        assertNotEquals(DeterministicText.text("a", "b", "x", 0, 10), text);
    }

    @Test
    public void should_end_at_the_callers_maximum() {
        assertEquals(DeterministicText.tokens("Rain.", 5), 5);
        assertEquals(DeterministicText.tokens("Rain.", 100_000), DeterministicText.unlimitedTokens("Rain."));
    }
}
