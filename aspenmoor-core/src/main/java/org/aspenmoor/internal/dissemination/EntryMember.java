package org.aspenmoor.internal.dissemination;

/**
 * A live entry.
 *
 * @param process the name of the process
 * @param dataCentre the data centre that it runs in
 */
public record EntryMember(String process, String dataCentre) {}
