package org.aspenmoor.internal.serving.quarantine;

import static org.testng.Assert.assertEquals;

import java.util.Optional;
import org.testng.annotations.Test;

public class SuspectDigestTest {
    @Test
    public void should_restore_a_digest_when_parsing_its_own_output() {
        SuspectDigest digest = new SuspectDigest(-17, 4_711);

        assertEquals(SuspectDigest.parse(digest.hex()), Optional.of(digest));
        assertEquals(SuspectDigest.of(digest.bytes()), digest);
    }

    @Test
    public void should_return_empty_when_the_text_is_not_a_digest() {
        assertEquals(SuspectDigest.parse(""), Optional.empty());
        assertEquals(SuspectDigest.parse("0123"), Optional.empty());
        assertEquals(SuspectDigest.parse("zz".repeat(SuspectDigest.BYTES)), Optional.empty());
    }
}
