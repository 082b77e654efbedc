import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to the record of a case, with the time since its start. */
final class Record implements AutoCloseable {
    private final long startedAt = System.nanoTime();
    private final PrintWriter file;

    Record(Path path) throws IOException {
        this.file = new PrintWriter(Files.newBufferedWriter(path, StandardCharsets.UTF_8));
    }

    synchronized void line(String text) {
        String line = String.format(Locale.ROOT, "%8.3f s  %s", (System.nanoTime() - startedAt) / 1e9, text);
        file.println(line);
        file.flush();
        System.out.println(line);
    }

    @Override
    public synchronized void close() {
        file.close();
    }
}
