package passhatch.adapter;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import passhatch.Balancer.Server;

/** One message of a batch as read: the fields known, whichever message they belong to. */
final class InputMessage {

    /** A number that was absent or null. */
    static final long ABSENT = Long.MIN_VALUE;

    int instanceId;
    int line;
    String type;
    String requestId;
    String serverId;
    String outcome;
    String listMode;
    boolean requestEnded;
    long requestClass;
    long tenant;
    long timeLeftUs;
    long expectedWorkUs;
    long flags;
    long elapsedUs;
    long attempt;
    long listId;
    long seed;
    double[] loadValues;
    List<Server> servers;
    Map<String, Object> settings;

    InputMessage reset(int instance, int lineNumber) {
        instanceId = instance;
        line = lineNumber;
        type = null;
        requestId = null;
        serverId = null;
        outcome = null;
        listMode = null;
        requestEnded = false;
        requestClass = ABSENT;
        tenant = ABSENT;
        timeLeftUs = ABSENT;
        expectedWorkUs = ABSENT;
        flags = ABSENT;
        elapsedUs = ABSENT;
        attempt = ABSENT;
        listId = ABSENT;
        seed = ABSENT;
        loadValues = null;
        servers = null;
        settings = null;
        return this;
    }

    List<Server> newServers() {
        servers = new ArrayList<>();
        return servers;
    }

    long required(long value, String field) throws InvalidInputException {
        if (value == ABSENT) {
            throw missingField(field);
        }
        return value;
    }

    <T> T required(T value, String field) throws InvalidInputException {
        if (value == null) {
            throw missingField(field);
        }
        return value;
    }

    private InvalidInputException missingField(String field) {
        return new InvalidInputException("line " + line + ": " + type + ": field " + field + " is missing");
    }
}
