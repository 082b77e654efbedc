package org.aspenmoor.internal.dissemination;

/**
 * A live entry.
 *
 * @param process its name
 * @param dataCentre where it stands
 */
public record EntryMember(String process, String dataCentre) {}
