package org.magnoliavane.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.magnoliavane.routing.ApiKeyDigest;

/** Prints the hash of a bearer key. */
@Parameters(commandDescription = "Print the SHA-256 of a bearer key for key_sha256")
final class HashKeyCommand extends OperatorCommand {
    @Parameter(description = "KEY, or - to read the key from the first line of the standard input", required = true)
    private String key;

    @Override
    String[] getExamples() {
        return new String[] {"example-key-casework", "- < key.txt"};
    }

    @Override
    Report run() throws CommandException {
        String hash = ApiKeyDigest.compute(key.equals("-") ? readLine() : key);
        return Report.of(ExitStatus.OK, hash).without("message").with("key_sha256", hash);
    }

    private static String readLine() throws CommandException {
        try {
            BufferedReader reader = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
            String line = reader.readLine();
            if (line != null && !line.isEmpty()) {
                return line;
            }
        } catch (IOException e) {
            // An input that cannot be read is reported in the same way as an empty one.
        }
        throw new CommandException(Report.failure(
                ExitStatus.USAGE, "the standard input contains no key", "Write the key on its first line."));
    }
}
