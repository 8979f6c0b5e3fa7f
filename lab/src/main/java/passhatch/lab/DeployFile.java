package passhatch.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** How the service is started where it is in use. */
public final class DeployFile {

    private static final Pattern RUN_LINE = Pattern.compile("(?m)^run\\s*=\\s*\"((?:[^\"\\\\]|\\\\.)*)\"");

    private DeployFile() { }

    /**
     * The shell command that the deploy file runs a proxy with, to be started in the project's folder.
     *
     * @throws IOException where the deploy file cannot be read or has no line {@code run}
     */
    public static String runCommand(Path root) throws IOException {
        Matcher matcher = RUN_LINE.matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!matcher.find()) {
            throw new IOException("deploy/balancer.toml has no line 'run'");
        }
        return matcher.group(1).replace("\\\"", "\"").replace("\\\\", "\\");
    }
}
