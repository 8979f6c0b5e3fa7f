package passhatch.proxy;

import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.math.BigInteger;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import passhatch.Balancer.Settings;
import passhatch.adapter.InvalidInputException;
import passhatch.adapter.SettingsReader;

/**
 * The validated configuration of this proxy, from the environment and the file that it names.
 *
 * @param name the proxy's name, which all its processes share
 * @param listen address on which clients are accepted
 * @param discovery address of discovery
 * @param seed seed of the decision module's random numbers
 * @param settings settings of the decision module
 * @param classes names of the request classes, by position
 * @param tenants names of the tenants, by position; empty where there are none
 * @param zones names of the zones, by position
 * @param machineTypes names of the machine types, by position
 * @param connectTimeoutUs a connection to a backend that takes longer to establish, in microseconds, has
 *     failed
 * @param maxDescriptors file descriptors that this process may have open
 * @param memoryMb memory that the processes of this proxy may take together, in MB
 * @param cachedList the list of backends that this proxy last received; empty if there is none
 * @param console address of the operators' console, or null if there is none
 * @param stateDirectory directory for the files that the processes of this proxy share, or null if there is
 *     none
 */
record ProxyConfig(String name, InetSocketAddress listen, InetSocketAddress discovery, long seed,
        Settings settings, List<String> classes, List<String> tenants, List<String> zones,
        List<String> machineTypes, long connectTimeoutUs, int maxDescriptors, int memoryMb,
        EndpointList cachedList, InetSocketAddress console, Path stateDirectory) {

    private static final long DEFAULT_CONNECT_TIMEOUT_US = 250_000;
    /** Descriptors that a process may have open if the file does not say. */
    private static final int DEFAULT_SOCKETS = 1024;
    /** Memory that the processes may take together if the file does not say, in MB. */
    private static final int DEFAULT_MEMORY_MB = 192;

    /** How many processes of the proxy may run at a time: two in an upgrade, which needs a console. */
    int maxProcesses() {
        return console == null ? 1 : 2;
    }

    /** The configuration is missing, unreadable or invalid; the message is one line. */
    static final class InvalidConfigException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidConfigException(String message) {
            super(message.lines().findFirst().orElse(""));
        }
    }

    /**
     * Reads the configuration again and returns the one value that can change without a restart, the address
     * of discovery. Everything else is only validated.
     *
     * @return the address of discovery in the file, or null if the file has none
     * @throws InvalidConfigException if any part of the configuration is invalid
     */
    static InetSocketAddress rereadDiscovery(Map<String, String> env) throws InvalidConfigException {
        read(env);
        Object discovery = readFile(requiredVariable(env, "PROXY_CONFIG")).get("discovery");
        return discovery == null ? null : address("config: discovery", String.valueOf(discovery));
    }

    /**
     * Reads the environment and the file that it names.
     *
     * @throws InvalidConfigException if either is incomplete or invalid
     */
    static ProxyConfig read(Map<String, String> env) throws InvalidConfigException {
        String name = requiredVariable(env, "PROXY_NAME");
        InetSocketAddress listen = address("PROXY_LISTEN", requiredVariable(env, "PROXY_LISTEN"));
        InetSocketAddress discovery = address("PROXY_DISCOVERY", requiredVariable(env, "PROXY_DISCOVERY"));
        Map<String, Object> file = readFile(requiredVariable(env, "PROXY_CONFIG"));
        Map<String, Object> settingsFields = objectField(file, "settings");
        Map<String, Object> processLimits = file.containsKey("limits") ? objectField(file, "limits")
                : Map.of();
        Settings settings;
        try {
            settings = SettingsReader.read(settingsFields);
        } catch (InvalidInputException | IllegalArgumentException e) {
            throw new InvalidConfigException("config: settings: " + e.getMessage());
        }
        List<String> zones = stringListField(settingsFields, "dcs");
        List<String> machineTypes = stringListField(settingsFields, "machineTypes");
        EndpointList cachedList = EndpointList.EMPTY;
        if (file.get("known") != null) {
            try {
                cachedList = EndpointList.parse(objectField(file, "known"), zones, machineTypes);
            } catch (IllegalArgumentException e) {
                throw new InvalidConfigException("config: known: " + e.getMessage());
            }
        }
        Object connectTimeout = settingsFields.get("limits") instanceof Map<?, ?> limits
                ? limits.get("connectTimeoutUs") : null;
        return new ProxyConfig(name, listen, discovery, parseSeed(file.get("seed")), settings,
                uniqueNames(settingsFields, "categories"), uniqueNames(settingsFields, "tenants"), zones,
                machineTypes,
                positiveInteger("settings: limits.connectTimeoutUs", connectTimeout,
                        DEFAULT_CONNECT_TIMEOUT_US),
                (int) positiveInteger("limits.sockets", processLimits.get("sockets"), DEFAULT_SOCKETS),
                (int) positiveInteger("limits.memory_mb", processLimits.get("memory_mb"), DEFAULT_MEMORY_MB),
                cachedList, console(env, file), stateDirectory(env));
    }

    private static long positiveInteger(String field, Object value, long defaultValue)
            throws InvalidConfigException {
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Number number && number.longValue() > 0
                && number.longValue() <= Integer.MAX_VALUE) {
            return number.longValue();
        }
        throw new InvalidConfigException("config: " + field + " must be a whole number above 0");
    }

    private static Path stateDirectory(Map<String, String> env) throws InvalidConfigException {
        String directory = env.get("TMPDIR");
        try {
            return directory == null || directory.isBlank() ? null : Path.of(directory);
        } catch (InvalidPathException e) {
            throw new InvalidConfigException("TMPDIR: " + e.getMessage());
        }
    }

    /** The console's address; the environment variable overrides the file. */
    private static InetSocketAddress console(Map<String, String> env, Map<String, Object> file)
            throws InvalidConfigException {
        String variable = env.get("PROXY_CONSOLE");
        if (variable != null && !variable.isBlank()) {
            return address("PROXY_CONSOLE", variable);
        }
        Object fileValue = file.get("console");
        return fileValue == null ? null : address("config: console", String.valueOf(fileValue));
    }

    /**
     * Parses an IP address and a port such as 10.0.0.4:5000. Host names are not resolved, as there is no DNS.
     *
     * @throws IllegalArgumentException if the text is anything else
     */
    static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        byte[] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        if (ip == null) {
            throw new IllegalArgumentException("'" + text + "' is not an address and a port");
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(ip),
                    Integer.parseInt(text.substring(colon + 1)));
        } catch (IOException | IllegalArgumentException e) {
            throw new IllegalArgumentException("'" + text + "' is not an address and a port", e);
        }
    }

    private static InetSocketAddress address(String source, String text) throws InvalidConfigException {
        try {
            return parseAddress(text);
        } catch (IllegalArgumentException e) {
            throw new InvalidConfigException(source + ": " + e.getMessage());
        }
    }

    private static String requiredVariable(Map<String, String> env, String key)
            throws InvalidConfigException {
        String value = env.get(key);
        if (value == null || value.isBlank()) {
            throw new InvalidConfigException(key + " is not set");
        }
        return value;
    }

    private static Map<String, Object> readFile(String path) throws InvalidConfigException {
        try {
            return JSON.std.mapFrom(Files.readString(Path.of(path)));
        } catch (IOException | IllegalArgumentException e) {
            throw new InvalidConfigException("PROXY_CONFIG: " + path + " cannot be read: " + e.getMessage());
        }
    }

    /** Parses the seed: a string of sixteen hexadecimal digits, or a number. */
    private static long parseSeed(Object seed) throws InvalidConfigException {
        try {
            return seed instanceof Number number ? number.longValue()
                    : new BigInteger((String) seed, 16).longValue();
        } catch (ClassCastException | NumberFormatException | NullPointerException e) {
            throw new InvalidConfigException("config: seed is missing or not hexadecimal");
        }
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> objectField(Map<String, Object> parent, String key)
            throws InvalidConfigException {
        if (parent.get(key) instanceof Map<?, ?> map) {
            return (Map<String, Object>) map;
        }
        throw new InvalidConfigException("config: " + key + " is missing or not an object");
    }

    private static List<String> stringListField(Map<String, Object> parent, String key) {
        return parent.get(key) instanceof List<?> list ? list.stream().map(String::valueOf).toList()
                : List.of();
    }

    /**
     * The names of a list of objects. Each must be present and unique, because request paths and headers
     * select request classes and tenants by name.
     */
    private static List<String> uniqueNames(Map<String, Object> parent, String key)
            throws InvalidConfigException {
        List<String> names = new ArrayList<>();
        if (parent.get(key) instanceof List<?> list) {
            for (Object item : list) {
                Object name = ((Map<?, ?>) item).get("name");
                if (!(name instanceof String text) || text.isBlank() || names.contains(text)) {
                    throw new InvalidConfigException("config: settings: " + key + "[" + names.size()
                            + "].name is missing or given twice");
                }
                names.add(text);
            }
        }
        return List.copyOf(names);
    }
}
