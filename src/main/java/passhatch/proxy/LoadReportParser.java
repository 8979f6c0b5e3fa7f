package passhatch.proxy;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import passhatch.Balancer.LoadReport;

/** Parses load reports of backends such as {@code TEXT inflight=7, queue=2, util=0.61}. */
final class LoadReportParser {

    private static final Pattern FIELD = Pattern.compile("([a-z_0-9]+)=([0-9.eE+-]+)");

    /** Largest value of a field; no server has that many requests in flight or queued. */
    private static final double MAX_FIELD_VALUE = 1e6;

    private LoadReportParser() { }

    /**
     * Parses a report. Unknown fields are ignored.
     *
     * @param text may be null
     * @return the report, with -1 for fields that are missing; null if there is no field or an invalid value
     */
    static LoadReport parse(String text) {
        if (text == null) {
            return null;
        }
        double inFlight = -1;
        double queue = -1;
        double utilisation = -1;
        Matcher fields = FIELD.matcher(text);
        boolean anyField = false;
        while (fields.find()) {
            double value;
            try {
                value = Double.parseDouble(fields.group(2));
            } catch (NumberFormatException malformed) {
                return null;
            }
            // NaN, negative and absurdly large values would corrupt the sums in the decision module.
            if (!(value >= 0 && value <= MAX_FIELD_VALUE)) {
                return null;
            }
            anyField = true;
            switch (fields.group(1)) {
                case "inflight" -> inFlight = value;
                case "queue" -> queue = value;
                case "util" -> utilisation = value;
                default -> { }
            }
        }
        return anyField ? new LoadReport(inFlight, queue, utilisation) : null;
    }
}
