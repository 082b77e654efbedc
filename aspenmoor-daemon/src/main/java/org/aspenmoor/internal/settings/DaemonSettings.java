package org.aspenmoor.internal.settings;

/** What a process is told at its start. */
public sealed interface DaemonSettings permits EntrySettings, AgentSettings {
    /** Returns what every process is told. */
    ProcessSettings process();
}
