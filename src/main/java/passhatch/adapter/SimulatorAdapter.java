package passhatch.adapter;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import passhatch.Balancer;
import passhatch.Balancer.Actions;
import passhatch.Balancer.DiscoveryFailure;
import passhatch.Balancer.ListKind;
import passhatch.Balancer.LoadReport;
import passhatch.Balancer.Outcome;
import passhatch.Balancer.Request;
import passhatch.Balancer.Server;
import passhatch.LeastLoadedBalancer;

/**
 * Runs instances of the decision module for a simulator: passes each the messages that are addressed to it
 * and writes the actions that it takes. Each batch of messages carries one time and gets one line of output.
 * In it, the actions that follow from consecutive messages to one instance form a group; messages without
 * actions add nothing. Not thread-safe.
 */
final class SimulatorAdapter {

    /** Bit of a request's flags: the client says that this is a retry of its own. */
    private static final int FLAG_CLIENT_RETRY = 2;
    /** Bit of a request's flags: the expected work is valid. */
    private static final int FLAG_EXPECTED_WORK_VALID = 1;

    /** The indexes of a load report's values among those of a message; -1 for values that are not sent. */
    private record LoadFieldIndexes(int inFlightIndex, int queueIndex, int utilisationIndex) { }

    /** A started instance of the decision module. */
    private record Instance(Balancer balancer, LoadFieldIndexes loadFieldIndexes) { }

    private final BatchReader reader;
    private final OutputStream out;
    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream(1 << 14);
    private final JsonGenerator json;
    private final Map<Integer, Instance> instances = new HashMap<>();
    /**
     * Lists of servers by the id that the simulator gave them; shared by all instances. A list is kept until
     * another comes with its id.
     */
    private final Map<Long, List<Server>> serverLists = new HashMap<>();
    private final Actions actions = new ActionWriter();
    /** The instance whose message is being handled, which the actions taken meanwhile belong to. */
    private int currentInstanceId;
    /** Whether a group of the current instance was begun in the output and not ended. */
    private boolean groupOpen;

    SimulatorAdapter(InputStream in, OutputStream out) throws IOException {
        this.reader = new BatchReader(in);
        this.out = out;
        this.json = new JsonFactory().createGenerator(buffer);
        json.setRootValueSeparator(null);
    }

    /**
     * Handles batches until the input ends, and writes one line for each. Nothing is written for a batch that
     * holds an invalid message.
     *
     * @throws IOException if the input cannot be read or the output cannot be written
     * @throws InvalidInputException if a batch, a message or an instance's settings are invalid
     */
    void serve() throws IOException, InvalidInputException {
        while (reader.readNext()) {
            json.writeStartObject();
            json.writeArrayFieldStart("groups");
            for (int i = 0; i < reader.messageCount(); i++) {
                InputMessage message = reader.message(i);
                if (groupOpen && message.instanceId != currentInstanceId) {
                    endGroup();
                }
                currentInstanceId = message.instanceId;
                handle(message);
            }
            if (groupOpen) {
                endGroup();
            }
            json.writeEndArray();
            json.writeEndObject();
            json.flush();
            buffer.write('\n');
            buffer.writeTo(out);
            out.flush();
            buffer.reset();
        }
    }

    private void handle(InputMessage message) throws InvalidInputException {
        long nowUs = reader.nowUs();
        switch (message.type) {
            case "catalog" -> {
                serverLists.put(message.required(message.listId, "rosterId"),
                        message.required(message.servers, "nodesList"));
                return;
            }
            case "powerOn" -> {
                startInstance(message);
                return;
            }
            case "teardown" -> {
                startedInstance(message);
                instances.remove(message.instanceId);
                return;
            }
            default -> { }
        }
        Instance instance = startedInstance(message);
        Balancer balancer = instance.balancer();
        switch (message.type) {
            case "inbound" -> {
                long flags = message.flags == InputMessage.ABSENT ? 0 : message.flags;
                boolean expectedWorkValid = (flags & FLAG_EXPECTED_WORK_VALID) != 0
                        && message.expectedWorkUs != InputMessage.ABSENT;
                balancer.request(nowUs, new Request(message.required(message.requestId, "opId"),
                        (int) message.required(message.requestClass, "profile"),
                        message.tenant == InputMessage.ABSENT ? 0 : (int) message.tenant,
                        message.required(message.timeLeftUs, "budgetUs"),
                        expectedWorkValid ? message.expectedWorkUs : 0, (flags & FLAG_CLIENT_RETRY) != 0));
            }
            case "reply" -> balancer.outcome(nowUs, message.required(message.requestId, "opId"),
                    (int) message.required(message.attempt, "leg"), message.serverId, outcome(message),
                    message.required(message.elapsedUs, "elapsedUs"), message.requestEnded,
                    loadReport(instance.loadFieldIndexes(), message.loadValues));
            case "healthResult" -> balancer.probeResult(nowUs,
                    message.required(message.serverId, "backend"), outcome(message),
                    message.required(message.elapsedUs, "elapsedUs"),
                    loadReport(instance.loadFieldIndexes(), message.loadValues));
            case "backendsChanged" -> serversChanged(balancer, nowUs, message);
            case "elapsed" -> balancer.timer(nowUs);
            case "left" -> balancer.clientGone(nowUs, message.required(message.requestId, "opId"));
            case "established" -> balancer.streamStarted(nowUs, message.required(message.requestId, "opId"),
                    (int) message.required(message.attempt, "leg"), message.serverId,
                    message.required(message.elapsedUs, "elapsedUs"));
            case "datagram" -> { }
            default -> throw new InvalidInputException("line " + message.line + ": message '" + message.type
                    + "' is not known");
        }
    }

    /** Returns the instance that the message is for; it must have been started. */
    private Instance startedInstance(InputMessage message) throws InvalidInputException {
        Instance instance = instances.get(message.instanceId);
        if (instance == null) {
            throw new InvalidInputException("line " + message.line + ": " + message.type + ": instance "
                    + message.instanceId + " was not started");
        }
        return instance;
    }

    private void startInstance(InputMessage message) throws InvalidInputException {
        Map<String, Object> settings = message.required(message.settings, "params");
        long seed = message.required(message.seed, "nonce64");
        try {
            Balancer balancer = new LeastLoadedBalancer(SettingsReader.read(settings), seed, actions);
            instances.put(message.instanceId, new Instance(balancer, loadFieldIndexes(settings)));
        } catch (InvalidInputException | IllegalArgumentException e) {
            throw new InvalidInputException("line " + message.line + ": powerOn: " + e.getMessage());
        }
    }

    private static LoadFieldIndexes loadFieldIndexes(Map<String, Object> settings) {
        List<?> fieldNames = settings.get("loadInfo") instanceof Map<?, ?> loadInfo
                && loadInfo.get("fields") instanceof List<?> list ? list : List.of();
        return new LoadFieldIndexes(fieldNames.indexOf("inflight"), fieldNames.indexOf("queue"),
                fieldNames.indexOf("util"));
    }

    private static LoadReport loadReport(LoadFieldIndexes indexes, double[] loadValues) {
        if (loadValues == null) {
            return null;
        }
        return new LoadReport(valueAt(loadValues, indexes.inFlightIndex()),
                valueAt(loadValues, indexes.queueIndex()), valueAt(loadValues, indexes.utilisationIndex()));
    }

    /** Returns the value at the index, or -1 (not given) if there is none. */
    private static double valueAt(double[] loadValues, int index) {
        return index < 0 || index >= loadValues.length ? -1 : loadValues[index];
    }

    private void serversChanged(Balancer balancer, long nowUs, InputMessage message)
            throws InvalidInputException {
        String listMode = message.required(message.listMode, "mode");
        if (listMode.equals("refused")) {
            balancer.discoveryFailed(nowUs, DiscoveryFailure.REFUSED);
            return;
        }
        ListKind kind = switch (listMode) {
            case "changes" -> ListKind.CHANGES;
            case "all" -> ListKind.FULL;
            case "remembered" -> ListKind.CACHED;
            default -> throw new InvalidInputException("line " + message.line + ": backendsChanged: mode '"
                    + listMode + "' is not known");
        };
        List<Server> servers = serverLists.get(message.required(message.listId, "rosterId"));
        if (servers == null) {
            throw new InvalidInputException("line " + message.line + ": backendsChanged: catalog "
                    + message.listId + " was not received");
        }
        balancer.serversChanged(nowUs, kind, servers);
    }

    private static Outcome outcome(InputMessage message) throws InvalidInputException {
        return switch (message.required(message.outcome, "ending")) {
            case "OK" -> Outcome.OK;
            case "INTERNAL" -> Outcome.ERROR;
            case "RESOURCE_EXHAUSTED" -> Outcome.FULL;
            case "DEADLINE_EXCEEDED" -> Outcome.TIMEOUT;
            case "UNAVAILABLE" -> Outcome.CONNECT_FAILED;
            case "ABORTED" -> Outcome.RESET;
            case "CANCELLED" -> Outcome.CANCELLED;
            case "TOO_LATE" -> Outcome.NOT_SENT;
            default -> throw new InvalidInputException("line " + message.line + ": " + message.type
                    + ": ending '" + message.outcome + "' is not known");
        };
    }

    /** Begins an action in the output, and before it the group of the current instance if none is open. */
    private void beginAction(String type) throws IOException {
        if (!groupOpen) {
            groupOpen = true;
            json.writeStartObject();
            json.writeNumberField("who", currentInstanceId);
            json.writeArrayFieldStart("cmds");
        }
        json.writeStartObject();
        json.writeStringField("msg", type);
    }

    private void endGroup() throws IOException {
        groupOpen = false;
        json.writeEndArray();
        json.writeEndObject();
    }

    /** Writes the actions of the instance whose message is being handled. */
    private final class ActionWriter implements Actions {

        @Override
        public void send(String request, String server, long timeoutUs) {
            write("relay", () -> {
                json.writeStringField("opId", request);
                json.writeStringField("backend", server);
                json.writeNumberField("limitUs", timeoutUs);
            });
        }

        @Override
        public void refuse(String request, long retryAfterUs) {
            write("turnAway", () -> {
                json.writeStringField("opId", request);
                if (retryAfterUs > 0) {
                    json.writeNumberField("coolDownUs", retryAfterUs);
                }
            });
        }

        @Override
        public void fail(String request) {
            write("abort", () -> json.writeStringField("opId", request));
        }

        @Override
        public void cancel(String request, int attempt) {
            write("recall", () -> {
                json.writeStringField("opId", request);
                json.writeNumberField("leg", attempt);
            });
        }

        @Override
        public void closeIdle(String server) {
            write("disconnect", () -> json.writeStringField("backend", server));
        }

        @Override
        public void probe(String server) {
            write("test", () -> json.writeStringField("backend", server));
        }

        @Override
        public void wakeAt(long atUs) {
            write("wakeAt", () -> {
                json.writeNumberField("dueAtUs", atUs);
                json.writeNumberField("mark", 0);
            });
        }

        @Override
        public void watchServers() {
            write("keepInformed", () -> json.writeBooleanField("enable", true));
        }

        @Override
        public void log(String text) {
            write("trace", () -> json.writeStringField("what", text));
        }

        /** Writes an action; the target is a buffer in memory, so an IOException is not expected. */
        private void write(String type, ActionFields fields) {
            try {
                beginAction(type);
                fields.write();
                json.writeEndObject();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** Writes the fields of an action. */
    private interface ActionFields {
        void write() throws IOException;
    }
}
