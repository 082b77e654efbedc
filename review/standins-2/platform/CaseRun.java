package org.aspenmoor.review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** Runs one case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
final class CaseRun {
    /** What a case does; returns whether the rule held. */
    interface Case {
        boolean run(CaseRun run) throws Exception;
    }

    private final Path repository;
    private final Path temporary;
    private final Record record = new Record();
    private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    private CaseRun(Path repository, Path temporary) {
        this.repository = repository;
        this.temporary = temporary;
    }

    /** Runs the case and ends this process. */
    static void main(String[] arguments, Case played) throws IOException {
        Path folder = Path.of(arguments[1]);
        Path temporary = Files.createTempDirectory("review");
        CaseRun run = new CaseRun(Path.of(arguments[0]), temporary);
        int status = 2;
        try {
            run.record.result("the disruption is played: " + run.trouble);
            boolean held = played.run(run);
            status = held ? 0 : 1;
            run.record.result(held ? "the rule held" : "the rule was broken");
        } catch (Exception failed) {
            run.record.result("the case could not run: " + failed);
        }
        run.record.write(folder.resolve("record.txt"));
        if (System.getenv("KEEP") == null) {
            delete(temporary);
        } else {
            System.out.println(temporary);
        }
        System.exit(status);
    }

    Record record() {
        return record;
    }

    boolean trouble() {
        return trouble;
    }

    /** Returns an entry that has not been started. */
    EntryProcess entry(String name, StoreStandin store) throws IOException {
        return new EntryProcess(name, repository, temporary, store.address());
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> paths = Files.walk(folder)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }
}
