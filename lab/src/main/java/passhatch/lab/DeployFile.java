package passhatch.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the deploy file, {@code deploy/balancer.toml}. */
public final class DeployFile {

    private static final Pattern RUN_LINE = Pattern.compile("(?m)^run\\s*=\\s*\"((?:[^\"\\\\]|\\\\.)*)\"");

    private DeployFile() { }

    /**
     * Returns the shell command that starts a proxy, to be run in the directory of the project.
     *
     * @param root directory of the project
     * @throws IOException if the deploy file can't be read or has no key {@code run}
     */
    public static String runCommand(Path root) throws IOException {
        Matcher matcher = RUN_LINE.matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!matcher.find()) {
            throw new IOException("deploy/balancer.toml has no key 'run' with a quoted command");
        }
        return matcher.group(1).replace("\\\"", "\"").replace("\\\\", "\\");
    }
}
