package org.aspenmoor.internal.organisation;

/** What a request contains in place of a key. */
public sealed interface PresentedKey {
    /** The request contains no key. */
    record Missing() implements PresentedKey {}

    /** The request contains something that cannot be read as one key. */
    record Malformed() implements PresentedKey {}

    /** The request contains a key, which may be unknown. */
    record Given(ApiKey key) implements PresentedKey {}
}
