package org.magnoliavane.config;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

import io.vavr.control.Either;

/** Reads settings in TOML and returns either the settings or all problems. */
public final class SettingsFile {
    private SettingsFile() {}

    /**
     * Reads a settings file.
     *
     * @param <T> the type of the settings
     * @param file the file
     * @param reader creates the settings from the root table
     * @return the settings, or all problems
     */
    public static <T> Either<List<TextProblem>, T> read(Path file, Function<TomlTable, T> reader) {
        try {
            return parse(Files.readString(file, StandardCharsets.UTF_8), reader);
        } catch (IOException e) {
            return Either.left(List.of(new TextProblem(
                    file.toString(),
                    "cannot be read (" + e + ")",
                    "a TOML file in UTF-8",
                    "name a file that exists and that this user may read")));
        }
    }

    /**
     * Parses settings.
     *
     * @param <T> the type of the settings
     * @param text the TOML text
     * @param reader creates the settings from the root table
     * @return the settings, or all problems
     */
    public static <T> Either<List<TextProblem>, T> parse(String text, Function<TomlTable, T> reader) {
        List<TextProblem> problems = new ArrayList<>();
        TomlTable root = TomlTable.parse(text, problems);
        if (!problems.isEmpty()) {
            return Either.left(List.copyOf(problems));
        }
        T settings = reader.apply(root);
        return problems.isEmpty() ? Either.right(settings) : Either.left(List.copyOf(problems));
    }
}
