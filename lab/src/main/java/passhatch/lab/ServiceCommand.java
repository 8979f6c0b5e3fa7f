package passhatch.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** How the service is started where it is in use. */
public final class ServiceCommand {

    private static final Pattern RUN = Pattern.compile("(?m)^run\\s*=\\s*\"((?:[^\"\\\\]|\\\\.)*)\"");

    private ServiceCommand() { }

    /**
     * The shell command that the deploy file runs a proxy with, to be started in the project's folder.
     *
     * @throws IOException where the deploy file cannot be read or has no line {@code run}
     */
    public static String run(Path root) throws IOException {
        Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("deploy/balancer.toml has no line 'run'");
        }
        return run.group(1).replace("\\\"", "\"").replace("\\\\", "\\");
    }
}
