package org.magnoliavane.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

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
        String hash = hash(key.equals("-") ? readLine() : key);
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

    private static String hash(String text) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
