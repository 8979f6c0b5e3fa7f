package passhatch.adapter;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import passhatch.Balancer.DedupScope;
import passhatch.Balancer.Effect;
import passhatch.Balancer.Limits;
import passhatch.Balancer.Prices;
import passhatch.Balancer.RequestClass;
import passhatch.Balancer.Rules;
import passhatch.Balancer.Settings;
import passhatch.Balancer.Tenant;
import passhatch.SettingsBuilder;

/**
 * Converts settings from the JSON of the simulator or of a proxy's configuration file to the
 * {@link Settings} of the decision module. A reader covers one JSON object of the settings. Keys that are not
 * known are ignored; a value that is null counts as absent.
 */
public final class SettingsReader {

    private final Map<String, Object> values;
    /** The path of this object in the settings, for error messages; empty or ending in a dot. */
    private final String path;

    private SettingsReader(Map<String, Object> values, String path) {
        this.values = values;
        this.path = path;
    }

    /**
     * Reads the settings. Only their form is checked here; {@code Logic} checks the values.
     *
     * @param params the JSON object as nested maps, lists, strings, numbers and booleans
     * @throws InvalidInputException if a required key is absent or a value has a wrong type; its message
     *     names the key with its path
     */
    public static Settings read(Map<String, Object> params) throws InvalidInputException {
        SettingsReader root = new SettingsReader(params, "");
        List<RequestClass> classes = new ArrayList<>();
        for (SettingsReader classSettings : root.list("categories")) {
            classes.add(new RequestClass(classSettings.text("name", ""),
                    classSettings.roundedNumber("goalTimeUs"), classSettings.roundedNumber("deadlineUs"),
                    classSettings.number("worth"), classSettings.number("lateWorth", 0),
                    classSettings.effect(), classSettings.dedupScope(),
                    (long) classSettings.number("dedupWindowUs", 0), classSettings.indices("runsIn"),
                    classSettings.indices("machineTypesOnly")));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (SettingsReader tenantSettings : root.list("tenants")) {
            tenants.add(new Tenant(tenantSettings.text("name", ""), tenantSettings.number("quotaPerS", 0)));
        }
        SettingsReader limits = root.object("limits");
        SettingsReader rules = root.object("rules");
        SettingsReader prices = root.object("fees");
        boolean onRequest = root.text("discovery", "pushed").equals("on_request");
        int tiers = root.values.get("layers") instanceof List<?> layers ? Math.max(1, layers.size()) : 1;
        SettingsBuilder builder = new SettingsBuilder();
        classes.forEach(builder::requestClass);
        tenants.forEach(builder::tenant);
        return builder
                .limits(new Limits((int) limits.roundedNumber("maxAttempts"), limits.flag("cancel"),
                        limits.flag("probes"),
                        limits.flag("retryAfter") ? (long) limits.number("maxRetryAfterUs", 0) : 0,
                        (int) limits.number("maxStreams", 1), (long) limits.number("keepaliveUs", 0),
                        limits.flag("mayDuplicate")))
                .rules(new Rules(rules.roundedNumber("drainGraceUs"),
                        onRequest ? rules.roundedNumber("askEveryUs") : 0,
                        rules.number("coldFrom"), rules.roundedNumber("coldUs"), rules.number("tipMultiple"),
                        rules.roundedNumber("overloadForUs"), (long) rules.number("letGoInUs", 0)))
                .prices(new Prices(prices.number("probe", 0), prices.number("crossZone", 0)))
                .replicas((int) root.roundedNumber("balancers"), (int) root.number("me", 0))
                .tier((int) root.number("layer", 0), tiers)
                .zone((int) root.number("locality", 0))
                .watch(onRequest)
                .overQuotaValueFraction(root.number("overShareWorth", 1))
                .tickUs((long) root.number("resolutionUs", 1))
                .build();
    }

    private Effect effect() throws InvalidInputException {
        String text = text("effect", null);
        if (text == null) {
            throw invalid("effect", "is missing");
        }
        return switch (text) {
            case "pure" -> Effect.SAFE;
            case "token" -> Effect.KEYED;
            case "side_effect" -> Effect.UNSAFE;
            default -> throw invalid("effect", "'" + text + "' is not known");
        };
    }

    private DedupScope dedupScope() throws InvalidInputException {
        String text = text("group", "all");
        return switch (text) {
            case "all" -> DedupScope.ALL;
            case "zone" -> DedupScope.ZONE;
            case "cell" -> DedupScope.CELL;
            default -> throw invalid("group", "'" + text + "' is not known");
        };
    }

    /** A number that is required. */
    private double number(String key) throws InvalidInputException {
        if (values.get(key) == null) {
            throw invalid(key, "is missing");
        }
        return number(key, 0);
    }

    private double number(String key, double defaultValue) throws InvalidInputException {
        Object value = values.get(key);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Number number) {
            return number.doubleValue();
        }
        throw invalid(key, "must be a number");
    }

    /** An array of whole numbers as a set; null if it is absent. */
    private Set<Integer> indices(String key) throws InvalidInputException {
        Object value = values.get(key);
        if (value == null) {
            return null;
        }
        if (!(value instanceof List<?> items)) {
            throw invalid(key, "must be an array");
        }
        Set<Integer> result = new HashSet<>();
        for (Object item : items) {
            if (!(item instanceof Integer index)) {
                throw invalid(key, "must hold whole numbers");
            }
            result.add(index);
        }
        return result;
    }

    /** A number that is required, rounded to the nearest whole number. */
    private long roundedNumber(String key) throws InvalidInputException {
        return Math.round(number(key));
    }

    /** True only if the value is the JSON literal true. */
    private boolean flag(String key) {
        return Boolean.TRUE.equals(values.get(key));
    }

    private String text(String key, String defaultValue) throws InvalidInputException {
        Object value = values.get(key);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof String text) {
            return text;
        }
        throw invalid(key, "must be a string");
    }

    /** A nested object; an empty one if it is absent. */
    private SettingsReader object(String key) throws InvalidInputException {
        Object value = values.get(key);
        return new SettingsReader(value == null ? Map.of() : asObject(value, key), path + key + ".");
    }

    /** An array of objects; empty if it is absent. */
    private List<SettingsReader> list(String key) throws InvalidInputException {
        List<SettingsReader> result = new ArrayList<>();
        Object value = values.get(key);
        if (value != null && !(value instanceof List<?>)) {
            throw invalid(key, "must be an array");
        }
        if (value instanceof List<?> items) {
            for (int i = 0; i < items.size(); i++) {
                String elementKey = key + "[" + i + "]";
                result.add(new SettingsReader(asObject(items.get(i), elementKey), path + elementKey + "."));
            }
        }
        return result;
    }

    @SuppressWarnings("unchecked")
    private Map<String, Object> asObject(Object value, String key) throws InvalidInputException {
        if (value instanceof Map<?, ?> map) {
            return (Map<String, Object>) map;
        }
        throw invalid(key, "must be an object");
    }

    private InvalidInputException invalid(String key, String problem) {
        return new InvalidInputException("params." + path + key + " " + problem);
    }
}
