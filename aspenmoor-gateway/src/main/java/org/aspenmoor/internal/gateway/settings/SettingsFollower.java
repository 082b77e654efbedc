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
 * <p>If the file cannot be read or contains mistakes, the previous settings stay in force, because an editing mistake must
 * not stop a process that serves requests.
 */
public final class SettingsFollower {
    private final Path file;
    private final Consumer<GatewaySettings> listener;
    private final DecisionLog log;
    private String lastText;
    private GatewaySettings inForce;

    public SettingsFollower(Path file, GatewaySettings inForce, Consumer<GatewaySettings> listener, DecisionLog log) {
        this.file = file;
        this.inForce = inForce;
        this.listener = listener;
        this.log = log;
        this.lastText = textOrEmpty();
    }

    /** Reads the file and passes its settings to the listener if the content has changed. */
    public synchronized void check() {
        String text = textOrEmpty();
        if (text.isEmpty() || text.equals(lastText)) {
            return;
        }
        lastText = text;
        try {
            GatewaySettings read =
                    new GatewaySettingsReader().read(file.getFileName().toString(), text);
            boolean restart = !read.sameAddresses(inForce);
            inForce = read;
            listener.accept(read);
            log.notable("settings-reloaded")
                    .with(
                            "outcome",
                            restart
                                    ? "in force, except for the changed process name or addresses, which require a restart"
                                    : "in force")
                    .write();
        } catch (AspenmoorException wrong) {
            log.notable("settings-refused")
                    .with("reason", wrong.getMessage())
                    .with("outcome", "the previous settings stay in force")
                    .write();
        }
    }

    private String textOrEmpty() {
        try {
            return Files.readString(file);
        } catch (IOException unreadable) {
            log.notable("settings-refused")
                    .with("reason", "the file cannot be read: " + unreadable.getMessage())
                    .with("outcome", "the previous settings stay in force")
                    .write();
            return "";
        }
    }
}
