package passhatch.adapter;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import passhatch.Balancer.Server;

/**
 * One message from the simulator: the union of the fields of all message types. A field that is absent or
 * null on the wire is {@link #ABSENT} if it is a number, false if it is a boolean, and null otherwise.
 * Objects of this class are reused from batch to batch.
 */
final class InputMessage {

    /** The value of a number that is absent or null on the wire. */
    static final long ABSENT = Long.MIN_VALUE;

    /** The proxy instance that the message is for; a field of its group on the wire. */
    int instanceId;
    /** The input line, from 1, on which the batch begins; for error messages. */
    int line;
    /** Wire field {@code msg}. */
    String type;
    /** Wire field {@code opId}. */
    String requestId;
    /** Wire field {@code backend}. */
    String serverId;
    /** Wire field {@code ending}: how an attempt or a probe ended. */
    String outcome;
    /** Wire field {@code mode}: whether a server list is full, changes or cached, or discovery refused. */
    String listMode;
    /** Wire field {@code last}: the request is over by this outcome or was before it. */
    boolean requestEnded;
    /** Wire field {@code profile}: the index of the request class in the settings. */
    long requestClass;
    /** Wire field {@code billing}: the index of the tenant in the settings. */
    long tenant;
    /** Wire field {@code budgetUs}: the time until the client gives up, in microseconds. */
    long timeLeftUs;
    /** Wire field {@code predictedUs}: the expected work on a standard core, in microseconds. */
    long expectedWorkUs;
    /** Wire field {@code marks}: a set of bits; {@link SimulatorAdapter} names them. */
    long flags;
    /** The duration of an attempt or a probe so far, in microseconds. */
    long elapsedUs;
    /** Wire field {@code leg}: the index of an attempt of its request, from 0. */
    long attempt;
    /** Wire field {@code rosterId}: the id by which later messages name a list of servers. */
    long listId;
    /** Wire field {@code nonce64}: an unsigned 64-bit number, of which the bits are kept. */
    long seed;
    /**
     * Wire field {@code stats}: the values of a load report, in the order that the settings of the instance
     * give in {@code loadInfo.fields}; -1 for a value that is null.
     */
    double[] loadValues;
    /** Wire field {@code nodesList}: a full list of servers or changes to one. */
    List<Server> servers;
    /** Wire field {@code params}, as nested maps, lists, strings, numbers and booleans. */
    Map<String, Object> settings;

    /** Clears all fields for the next message, and returns this. */
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

    /** Sets the list of servers to a new empty list and returns that. */
    List<Server> newServers() {
        servers = new ArrayList<>();
        return servers;
    }

    /**
     * Returns the value.
     *
     * @param field the wire's name of the field
     * @throws InvalidInputException if the value is {@link #ABSENT}
     */
    long required(long value, String field) throws InvalidInputException {
        if (value == ABSENT) {
            throw missingField(field);
        }
        return value;
    }

    /**
     * Returns the value.
     *
     * @param field the wire's name of the field
     * @throws InvalidInputException if the value is null
     */
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
