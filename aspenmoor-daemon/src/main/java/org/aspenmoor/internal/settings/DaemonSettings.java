package org.aspenmoor.internal.settings;

/** Settings of a process, read at its start. */
public sealed interface DaemonSettings permits EntrySettings, AgentSettings {
    /** Returns the settings that every process has. */
    ProcessSettings process();
}
