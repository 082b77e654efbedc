package org.aspenmoor.internal.cli;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import joptsimple.OptionParser;
import org.aspenmoor.AspenmoorException;

/** Prints a shell completion script. */
final class CompletionCommand implements Command {
    private static final String SHELL = "bash";
    // Name under which the option parser lists the arguments that are not options.
    private static final String NON_OPTION_ARGUMENTS = "[arguments]";

    private final List<Command> commands;

    CompletionCommand(List<Command> commands) {
        this.commands = commands;
    }

    @Override
    public String name() {
        return "completion";
    }

    @Override
    public String argumentSyntax() {
        return SHELL;
    }

    @Override
    public String summary() {
        return "Prints a completion script: source <(aspenmoor completion bash)";
    }

    @Override
    public List<String> completionWords() {
        return List.of(SHELL);
    }

    @Override
    public ExitCode run(Invocation invocation) throws AspenmoorException {
        if (!invocation.requireArguments(1).getFirst().equals(SHELL)) {
            throw new UsageException("Completion is available for bash only.", name());
        }
        invocation.out().print(script());
        return ExitCode.DONE;
    }

    private String script() {
        StringBuilder cases = new StringBuilder();
        Map<String, Set<String>> candidatesByPrefix = new LinkedHashMap<>();
        candidatesByPrefix.put("", new TreeSet<>(List.of(name(), "--help", "--version")));
        candidatesByPrefix.put(name(), new TreeSet<>(completionWords()));
        for (Command command : commands) {
            addCandidates(command, candidatesByPrefix);
        }
        candidatesByPrefix.forEach((prefix, candidates) -> cases.append("        \"")
                .append(prefix)
                .append("\") candidates=\"")
                .append(String.join(" ", candidates))
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

    private static void addCandidates(Command command, Map<String, Set<String>> candidatesByPrefix) {
        String[] words = command.name().split(" ");
        String prefix = "";
        for (String word : words) {
            candidatesByPrefix
                    .computeIfAbsent(prefix, ignored -> new TreeSet<>())
                    .add(word);
            prefix = prefix.isEmpty() ? word : prefix + " " + word;
        }
        Set<String> candidates = candidatesByPrefix.computeIfAbsent(prefix, ignored -> new TreeSet<>());
        candidates.addAll(command.completionWords());
        OptionParser parser = Options.commonParser();
        command.declareOptions(parser);
        parser.recognizedOptions().values().stream()
                .map(option -> option.options())
                .flatMap(Collection::stream)
                .filter(option -> !option.equals(NON_OPTION_ARGUMENTS))
                .forEach(option -> candidates.add("--" + option));
    }
}
