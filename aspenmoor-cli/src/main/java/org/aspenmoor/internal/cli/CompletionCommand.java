package org.aspenmoor.internal.cli;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import joptsimple.OptionParser;
import org.aspenmoor.AspenmoorException;

/** Prints a script that completes command lines in a shell. */
final class CompletionCommand implements Command {
    private static final String SHELL = "bash";
    // How the parser names what is no option.
    private static final String ARGUMENTS = "[arguments]";

    private final List<Command> commands;

    CompletionCommand(List<Command> commands) {
        this.commands = commands;
    }

    @Override
    public String name() {
        return "completion";
    }

    @Override
    public String arguments() {
        return SHELL;
    }

    @Override
    public String summary() {
        return "Prints a completion script: source <(aspenmoor completion bash)";
    }

    @Override
    public List<String> words() {
        return List.of(SHELL);
    }

    @Override
    public ExitCode run(Invocation invocation) throws AspenmoorException {
        if (!invocation.arguments(1).getFirst().equals(SHELL)) {
            throw new UsageException("Only bash is known.", name());
        }
        invocation.out().print(script());
        return ExitCode.DONE;
    }

    private String script() {
        StringBuilder cases = new StringBuilder();
        Map<String, Set<String>> nextWords = new LinkedHashMap<>();
        nextWords.put("", new TreeSet<>(List.of(name(), "--help", "--version")));
        nextWords.put(name(), new TreeSet<>(words()));
        for (Command command : commands) {
            addWords(command, nextWords);
        }
        nextWords.forEach((words, next) -> cases.append("        \"")
                .append(words)
                .append("\") candidates=\"")
                .append(String.join(" ", next))
                .append("\" ;;\n"));
        return """
                _aspenmoor() {
                    local candidates current="${COMP_WORDS[COMP_CWORD]}"
                    local words="" index
                    for ((index = 1; index < COMP_CWORD && index < 3; index++)); do
                        case "${COMP_WORDS[index]}" in -*) break ;; esac
                        [ "$index" -eq 2 ] && [ "${COMP_WORDS[1]}" != "document" ] && break
                        words="${words:+$words }${COMP_WORDS[index]}"
                    done
                    case "$words" in
                %s        *) candidates="" ;;
                    esac
                    COMPREPLY=($(compgen -W "$candidates" -- "$current"))
                    [ ${#COMPREPLY[@]} -gt 0 ] || COMPREPLY=($(compgen -f -- "$current"))
                }
                complete -F _aspenmoor aspenmoor
                """.formatted(cases);
    }

    private static void addWords(Command command, Map<String, Set<String>> nextWords) {
        String[] words = command.name().split(" ");
        String before = "";
        for (String word : words) {
            nextWords.computeIfAbsent(before, ignored -> new TreeSet<>()).add(word);
            before = before.isEmpty() ? word : before + " " + word;
        }
        Set<String> last = nextWords.computeIfAbsent(before, ignored -> new TreeSet<>());
        last.addAll(command.words());
        OptionParser parser = Options.common();
        command.declare(parser);
        parser.recognizedOptions().values().stream()
                .map(option -> option.options())
                .flatMap(Collection::stream)
                .filter(option -> !option.equals(ARGUMENTS))
                .forEach(option -> last.add("--" + option));
    }
}
