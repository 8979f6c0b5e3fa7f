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
import passhatch.adapter.SettingsReader;
import passhatch.adapter.WireException;

/**
 * What this proxy is told at its start, checked.
 *
 * @param classes names of the request classes, by position
 * @param tenants names of the tenants, by position; empty where there are none
 * @param zones names of the zones, by position
 * @param machineTypes names of the machine kinds, by position
 * @param connectTimeoutUs a connection that takes longer counts as not to be had
 * @param maxDescriptors file descriptors this process may hold
 * @param cachedList the list as this proxy last had it
 * @param console the operators' address, or null where there is none
 * @param stateDirectory where files may be kept that another process of this proxy reads, or null
 */
record ProxyConfig(String name, InetSocketAddress listen, InetSocketAddress discovery, long seed,
        Settings settings, List<String> classes, List<String> tenants, List<String> zones,
        List<String> machineTypes, long connectTimeoutUs, int maxDescriptors, EndpointList cachedList,
        InetSocketAddress console, Path stateDirectory) {

    private static final long DEFAULT_CONNECT_TIMEOUT_US = 250_000;
    private static final int DEFAULT_SOCKETS = 1024;

    /** The configuration cannot be used; the message is one plain line. */
    static final class InvalidConfigException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidConfigException(String message) {
            super(message.lines().findFirst().orElse(""));
        }
    }

    /**
     * Reads the file that the environment names once more and gives what the process follows without a
     * restart: the address of discovery, or null where the file names none. The rest is only checked.
     */
    static InetSocketAddress rereadDiscovery(Map<String, String> env) throws InvalidConfigException {
        read(env);
        Object discovery = readFile(requiredVariable(env, "PROXY_CONFIG")).get("discovery");
        return discovery == null ? null : address("config: discovery", String.valueOf(discovery));
    }

    /** Reads the environment and the file it names. */
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
        } catch (WireException | IllegalArgumentException e) {
            throw new InvalidConfigException("config: settings: " + e.getMessage());
        }
        List<String> zones = stringListField(settingsFields, "dcs");
        List<String> machineTypes = stringListField(settingsFields, "machineTypes");
        EndpointList cachedList = EndpointList.EMPTY;
        if (file.get("known") != null) {
            try {
                cachedList = EndpointList.of(objectField(file, "known"), zones, machineTypes);
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

    /** The variable comes before the file, as with the other addresses. */
    private static InetSocketAddress console(Map<String, String> env, Map<String, Object> file)
            throws InvalidConfigException {
        String variable = env.get("PROXY_CONSOLE");
        if (variable != null && !variable.isBlank()) {
            return address("PROXY_CONSOLE", variable);
        }
        Object fileValue = file.get("console");
        return fileValue == null ? null : address("config: console", String.valueOf(fileValue));
    }

    /** The address of a text like 10.0.0.4:5000; names are not looked up, as there is no DNS. */
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

    /** The seed is sixteen hex digits, or a number. */
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

    /** What is told apart by name must have one of its own: a path or a header is held against it. */
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
