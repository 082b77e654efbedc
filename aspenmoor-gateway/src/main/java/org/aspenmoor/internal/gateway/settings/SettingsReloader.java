package org.aspenmoor.internal.gateway.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.gateway.log.DecisionLog;

/**
 * Reloads the settings file when its content has changed; no signal is required.
 *
 * <p>If the file cannot be read or contains mistakes, the previous settings stay in force, because an editing mistake
 * must not stop a process that serves requests.
 */
public final class SettingsReloader {
    private final Path file;
    private final Consumer<GatewaySettings> listener;
    private final DecisionLog log;
    private String lastContent;
    private GatewaySettings currentSettings;

    public SettingsReloader(
            Path file, GatewaySettings currentSettings, Consumer<GatewaySettings> listener, DecisionLog log) {
        this.file = file;
        this.currentSettings = currentSettings;
        this.listener = listener;
        this.log = log;
        this.lastContent = contentOrEmpty();
    }

    /** Reads the file and passes its settings to the listener if the content has changed. */
    public synchronized void reloadIfChanged() {
        String content = contentOrEmpty();
        if (content.isEmpty() || content.equals(lastContent)) {
            return;
        }
        lastContent = content;
        try {
            GatewaySettings newSettings =
                    new GatewaySettingsReader().read(file.getFileName().toString(), content);
            boolean restartRequired = !newSettings.sameAddresses(currentSettings);
            currentSettings = newSettings;
            listener.accept(newSettings);
            log.notable("settings-reloaded")
                    .with(
                            "outcome",
                            restartRequired
                                    ? "in force, except changes of process name and addresses, which need a restart"
                                    : "in force")
                    .write();
        } catch (AspenmoorException invalid) {
            log.notable("settings-refused")
                    .with("reason", invalid.getMessage())
                    .with("outcome", "the previous settings stay in force")
                    .write();
        }
    }

    private String contentOrEmpty() {
        try {
            return Files.readString(file);
        } catch (IOException cause) {
            log.notable("settings-refused")
                    .with("reason", "the file cannot be read: " + cause.getMessage())
                    .with("outcome", "the previous settings stay in force")
                    .write();
            return "";
        }
    }
}
