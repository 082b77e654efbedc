import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Runs one case. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
public final class CaseRunner {
    private CaseRunner() {}

    /** A case of the review. */
    interface Case {
        /**
         * Runs the case; returns whether the rule was broken.
         *
         * @param trouble whether the disruption takes place
         * @param folder a temporary folder
         */
        boolean broken(Record record, boolean trouble, Path folder) throws IOException, InterruptedException;
    }

    /** The arguments are the name of the case's class, a temporary folder and the path of the record. */
    public static void main(String[] arguments) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Record record = new Record(Path.of(arguments[2]))) {
            record.line(trouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
            boolean broken = find(arguments[0]).broken(record, trouble, Files.createDirectories(Path.of(arguments[1])));
            record.line(broken ? "the rule was broken" : "the rule held");
            status = broken ? 1 : 0;
        } catch (IOException | InterruptedException | ReflectiveOperationException | RuntimeException failure) {
            System.err.println("The case could not run: " + failure);
        }
        System.exit(status);
    }

    private static Case find(String name) throws ReflectiveOperationException {
        return (Case) Class.forName(name).getDeclaredConstructor().newInstance();
    }
}
